#include "commands_priv.hpp"
#include "cuminpitch/cli/run.hpp"

namespace cuminpitch::cli {
namespace {

constexpr int status_ok = 200;

/// Sends a call that must not be repeated, and prints the response.
int send_once(context& it, const std::string& target, const std::string& body, bool first)
{
    const auto answered = it.client.call_once(target, body, first);
    if (!answered) {
        const char* outcome =
            it.client.outcome_unknown()
                ? "it may have been done; check cuminpitch status before you repeat it"
                : "nothing was done";
        it.err << "cuminpitch: " << it.client.error() << "; " << outcome << '\n';
        return exit_failed;
    }
    if (answered->status != status_ok) {
        return print_refusal(it, *answered);
    }
    it.out << (it.args.json ? answered->body.dump() : "done") << '\n';
    return exit_done;
}

} // namespace

int run_init(context& it)
{
    // Only the first instance is called, so that no second group can be formed.
    return send_once(
        it, "/v1/init", nlohmann::json{{"instances", it.args.endpoints}}.dump(), true);
}

int run_reassign(context& it)
{
    const nlohmann::json body = {{"pool", it.args.pool}, {"entries", it.args.entries}};
    return send_once(it, "/v1/reassign", body.dump(), false);
}

} // namespace cuminpitch::cli
