#pragma once

// Measures and prints slopes. A slope is a cost measured at one or more sizes.

#include <nlohmann/json.hpp>

#include <malloc.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <fstream>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

namespace cuminpitch::capacity {

class slope
{
public:
    slope(std::string name, std::string unit)
        : name_(std::move(name)), unit_(std::move(unit))
    {
    }

    void add(std::size_t size, double value)
    {
        at_.push_back(size);
        value_.push_back(value);
    }

    void print() const
    {
        nlohmann::ordered_json out;
        out["slope"] = name_;
        out["unit"] = unit_;
        out["at"] = at_;
        out["value"] = value_;
        std::cout << out.dump() << std::endl;
    }

private:
    std::string name_;
    std::string unit_;
    std::vector<std::size_t> at_;
    std::vector<double> value_;
};

/// CPU time of this thread in us. Unlike elapsed time, it excludes the time that other
/// processes take on a busy machine.
inline double cpu_us()
{
    timespec it{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &it);
    return static_cast<double>(it.tv_sec) * 1e6 + static_cast<double>(it.tv_nsec) / 1e3;
}

inline double cpu_us_of(const std::function<void()>& action)
{
    const double start = cpu_us();
    action();
    return cpu_us() - start;
}

/// Elapsed time of `action` in us, for operations that wait for a disk.
inline double elapsed_us_of(const std::function<void()>& action)
{
    const auto start = std::chrono::steady_clock::now();
    action();
    const std::chrono::duration<double, std::micro> it =
        std::chrono::steady_clock::now() - start;
    return it.count();
}

inline double median(std::vector<double> of)
{
    std::sort(of.begin(), of.end());
    return of[of.size() / 2];
}

/// Resident bytes of this process, after free memory is returned to the system.
inline double resident_bytes()
{
    malloc_trim(0);
    std::ifstream in("/proc/self/statm");
    double total = 0;
    double resident = 0;
    in >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

/// Highest resident bytes since reset_peak().
inline double peak_resident_bytes()
{
    std::ifstream in("/proc/self/status");
    std::string word;
    double kib = 0;
    while (in >> word) {
        if (word == "VmHWM:") {
            in >> kib;
        }
    }
    return kib * 1024;
}

inline void reset_peak()
{
    std::ofstream("/proc/self/clear_refs") << "5";
}

} // namespace cuminpitch::capacity
