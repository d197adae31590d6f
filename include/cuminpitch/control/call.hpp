#pragma once

#include "cuminpitch/control/command.hpp"
#include "cuminpitch/control/fleet_view.hpp"
#include "cuminpitch/control/outcome.hpp"
#include "cuminpitch/core/ids.hpp"

#include <string>
#include <variant>
#include <vector>

namespace cuminpitch::control {

/// Calls to a control instance whose form on the wire is the caller's matter. Each gets
/// one answer.
namespace call {

/// Brings a whole document of one team into force.
struct declare
{
    core::request_id id;
    core::team_id team;
    control::document document;
    settings_tree settings; ///< All settings of the team that the document means.
};

/// Asks for the newest document.
struct read_document
{
    core::request_id id;
};

/// A backend server announces itself, that it leaves, or that it is gone. A departure may
/// lack everything but the id; an incarnation of 0 then means the present one.
struct announce
{
    core::request_id id;
    server_record server;
};

/// Asks which entries to connect to.
struct list_entries
{
    core::request_id id;
    core::failure_domain_id caller_domain; ///< May be empty.
};

} // namespace call

using api_call =
    std::variant<call::declare, call::read_document, call::announce, call::list_entries>;

namespace call_result {

/// What was asked for is committed.
struct accepted
{
};

/// The declarations are invalid and not in force.
struct invalid_declarations
{
    std::vector<problem> problems;
};

/// The leader takes the call.
struct ask_leader
{
    core::endpoint http;
};

/// No answer is known to be right now; the call may have had its effect.
struct unavailable
{
    std::string reason;
};

/// The newest document; number 0 if there is none.
struct newest_document
{
    control::document document;
};

struct entries
{
    std::vector<entry_record> records;
};

} // namespace call_result

using api_answer = std::variant<
    call_result::accepted,
    call_result::invalid_declarations,
    call_result::ask_leader,
    call_result::unavailable,
    call_result::newest_document,
    call_result::entries>;

} // namespace cuminpitch::control
