// Measures how the memory of the processes of an undisturbed fleet without traffic grows.
// No case: no rule can be broken by it in 120 seconds.
//     memory ENTRIES CONTROL SECONDS
#include "harness.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>

using namespace review;

namespace {

/// Anonymous memory of a process of the fleet in KB.
long memory_kb(const fleet& platform, const std::string& name)
{
    std::ifstream in("/proc/" + std::to_string(platform.pid(name)) + "/status");
    long out = 0;
    for (std::string word; in >> word;) {
        if (word == "RssAnon:") {
            in >> out;
        }
    }
    return out;
}

} // namespace

int main(int argc, char** argv)
try {
    fleet_options options;
    options.entries = argc > 1 ? static_cast<unsigned>(std::atoi(argv[1])) : 32;
    options.control = argc > 2 ? static_cast<unsigned>(std::atoi(argv[2])) : 5;
    const int seconds = argc > 3 ? std::atoi(argv[3]) : 80;
    fleet platform(options);
    platform.configure(
        configuration(1, {{"/orders/", "unsafe", "lookup", 2500, 2}}, {"lookup"}));
    sleep_ms(12000); // All processes have started, and all control instances vote.
    auto names = platform.control();
    const auto entries = platform.entries();
    names.insert(names.end(), entries.begin(), entries.end());
    std::map<std::string, long> first;
    for (const auto& it : names) {
        first[it] = memory_kb(platform, it);
    }
    const auto begin = now_ms();
    for (int quarter = 1; quarter <= 4; ++quarter) {
        sleep_ms(seconds * 250);
        const double passed = static_cast<double>(now_ms() - begin) / 1000;
        for (const std::string role : {"control", "entry"}) {
            double least = 1e9;
            double most = 0;
            for (const auto& it : names) {
                if (it.starts_with(role)) {
                    const double slope =
                        static_cast<double>(memory_kb(platform, it) - first[it]) / passed;
                    least = std::min(least, slope);
                    most = std::max(most, slope);
                }
            }
            std::printf(
                "%5.1f s: %s grows by %.1f to %.1f KB/s\n",
                passed,
                role.c_str(),
                least,
                most);
        }
    }
    return 0;
} catch (const std::exception& e) {
    std::cerr << e.what() << std::endl;
    return could_not_run;
}
