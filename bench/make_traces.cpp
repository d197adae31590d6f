// Generates the traces in bench/traces/ for the pools of both users.
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

namespace {

struct pool
{
    std::string user;
    std::string name;
    int servers;
    int slots;
    double false_ejections; ///< Declared tolerance per server and month.
    std::vector<std::string> routes;
    std::string main_route;
};

// A route line holds the name, the requests per second and server, the median service
// time in ms and the standard deviation of its logarithm.
const std::vector<pool> pools = {
    {"cooperative",
     "lookup",
     28,
     4,
     0.1,
     {"search 7 12 0.5", "detail 3 8 0.4"},
     "search"},
    {"cooperative", "archive", 8, 4, 0.1, {"scan 4 60 0.6", "read 6 20 0.5"}, "scan"},
    {"guarda-chuva", "lending", 21, 6, 1, {"loan 6 25 0.5", "catalog 4 10 0.4"}, "loan"},
    {"guarda-chuva", "intake", 6, 6, 1, {"order 10 30 0.5"}, "order"},
};

struct scenario
{
    std::string name;
    int repeats;
    double seconds;
    /// Lines of the trace. MAIN stands for the pool's main route.
    std::vector<std::string> lines;
};

// A fault line holds the start and end in seconds after the warm-up, the number of
// servers (0 = all), the kind, its value, the flapping interval in seconds (0 = none) and
// the route (- = all).
const std::vector<scenario> scenarios = {
    {"fail_5",
     20,
     60,
     {"fault 5 60 1 fail 0.05 0 -",
      "expect multiple <= 1.5",
      "expect detected_percent >= 95"}},
    {"fail_30",
     60,
     25,
     {"fault 5 25 1 fail 0.3 0 -",
      "expect multiple <= 1.5",
      "expect detected_percent >= 100"}},
    {"fail_100",
     40,
     20,
     {"fault 5 20 1 fail 1 0 -",
      "expect detection_p99_s <= 1.5",
      "expect detected_percent >= 100"}},
    {"slow_3",
     20,
     60,
     {"fault 5 60 1 slow 3 0 -",
      "expect multiple <= 1.5",
      "expect detected_percent >= 95"}},
    {"slow_10",
     30,
     30,
     {"fault 5 30 1 slow 10 0 -",
      "expect detection_p50_s <= 6",
      "expect detected_percent >= 100"}},
    {"one_route",
     30,
     40,
     {"fault 5 40 1 fail 0.5 0 MAIN",
      "expect multiple <= 1.5",
      "expect detected_percent >= 100"}},
    {"flapping",
     10,
     120,
     {"fault 5 115 1 fail 0.5 6 -",
      "expect detected_percent >= 100",
      "expect sick_share_percent <= 2"}},
    {"two_sick", 10, 40, {"fault 5 40 2 fail 0.5 0 -", "expect detected_percent >= 50"}},
    {"endpoint_says_well",
     10,
     60,
     {"probes",
      "fault 5 60 1 fail 0.5 0 -",
      "fault 5 60 1 endpoint 1 0 -",
      "expect detected_percent >= 100",
      "expect sick_share_percent <= 1.5"}},
    {"endpoint_says_sick",
     5,
     400,
     {"probes",
      "fault 0 400 0 endpoint 0 0 -",
      "fault 5 20 1 fail 0.5 0 -",
      "expect detected_percent >= 100",
      "expect still_ejected_percent <= 0"}},
    {"none_sick", 2, 1800, {"expect ejections <= 0"}},
    {"none_sick_pool_fails",
     20,
     60,
     {"fault 5 25 0 fail 0.3 0 -",
      "fault 35 50 0 fail 0.05 0 -",
      "expect ejections <= 0"}},
    {"none_sick_pool_slow",
     20,
     60,
     {"fault 5 25 0 slow 3 0 -", "fault 35 50 0 slow 10 0 -", "expect ejections <= 0"}},
    {"none_sick_overload",
     20,
     60,
     {"fault 5 45 0 shed 0.25 0 -",
      "fault 5 45 0 slow 2 0 -",
      "fault 8 40 0 fail 0.03 0 -",
      "expect ejections <= 0"}},
    {"none_sick_cold_starts",
     20,
     90,
     {"fault 5 15 1 cold 8 0 -",
      "fault 20 30 2 cold 8 0 -",
      "fault 40 60 0 cold 8 0 -",
      "expect ejections <= 0"}},
};

std::string with_route(std::string line, const std::string& route)
{
    const auto at = line.find("MAIN");
    if (at != std::string::npos) {
        line.replace(at, 4, route);
    }
    return line;
}

void write(const std::string& folder, const pool& at, const scenario& it, int seed)
{
    std::ofstream out(folder + "/" + at.name + "_" + it.name + ".trace");
    out << "name " << it.name << "\nuser " << at.user << "\npool " << at.name << ' '
        << at.servers << ' ' << at.slots << " 3\ndeclared 70 " << at.false_ejections
        << "\nrun " << seed << ' ' << it.repeats << ' ' << it.seconds << " 0\n";
    for (const auto& route : at.routes) {
        out << "route " << route << '\n';
    }
    for (const auto& line : it.lines) {
        out << with_route(line, at.main_route) << '\n';
    }
    if (it.name == "fail_30" && at.user == "guarda-chuva") {
        out << "expect detection_p50_s <= 2\n";
    }
    out << "expect false_per_1000h <= 0\nexpect floor_margin_slots >= 0\n";
}

/// Writes the trace of a month without a faulty server. Replay draws its evidence for
/// intervals of 2 s.
void write_month(const std::string& folder, const pool& at, int seed)
{
    std::ofstream out(folder + "/" + at.name + "_none_sick_month.trace");
    out << "name none_sick_month\nuser " << at.user << "\npool " << at.name << ' '
        << at.servers << ' ' << at.slots << " 1\ndeclared 70 " << at.false_ejections
        << "\nrun " << seed << " 1 2592000 2\nbase_failures 0.002\n";
    for (const auto& route : at.routes) {
        out << "route " << route << '\n';
    }
    out << "expect ejections <= " << (at.user == "cooperative" ? 0 : at.servers) << '\n';
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2) {
        std::cerr << "usage: make_traces FOLDER\n";
        return 2;
    }
    std::filesystem::create_directories(argv[1]);
    int seed = 100;
    for (const auto& at : pools) {
        for (const auto& it : scenarios) {
            write(argv[1], at, it, ++seed);
        }
        if (at.servers <= 8) {
            write_month(argv[1], at, ++seed);
        }
    }
}
