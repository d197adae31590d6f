#pragma once

namespace cuminpitch::core {

/// Whether a request may have been executed by a backend server.
enum class verdict
{
    not_run, ///< No part of the request reached a backend server, or the server reported
             ///< that it did not execute the request.
    may_have_run, ///< At least one byte may have been sent, and no complete response was
                  ///< received.
    ran,          ///< A complete response was received.
};

/// Returns "not-run", "may-have-run" or "ran", as in the header Cuminpitch-Verdict.
constexpr const char* to_string(verdict it)
{
    switch (it) {
    case verdict::not_run:
        return "not-run";
    case verdict::may_have_run:
        return "may-have-run";
    case verdict::ran:
        return "ran";
    }
    return "may-have-run";
}

} // namespace cuminpitch::core
