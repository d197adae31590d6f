#include "cuminpitch/daemon/entry_daemon.hpp"

#include "daemon/exit_priv.hpp"

int main(int argc, char** argv)
{
    using namespace cuminpitch;
    const auto parsed = core::parse_entry_settings(argc, argv);
    if (const auto* why = std::get_if<core::exit_request>(&parsed)) {
        return daemon::print_exit_request(*why);
    }
    return daemon::run_entry(std::get<core::entry_settings>(parsed));
}
