#include "cuminpitch/daemon/control_daemon.hpp"

#include "daemon/exit_priv.hpp"

int main(int argc, char** argv)
{
    using namespace cuminpitch;
    const auto parsed = core::parse_control_settings(argc, argv);
    if (const auto* why = std::get_if<core::exit_request>(&parsed)) {
        return daemon::print_exit_request(*why);
    }
    return daemon::run_control(std::get<core::control_settings>(parsed));
}
