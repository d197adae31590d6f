#pragma once

#include "cuminpitch/control/command.hpp"
#include "cuminpitch/control/fleet_view.hpp"
#include "cuminpitch/control/outcome.hpp"
#include "cuminpitch/core/ids.hpp"

#include <string>
#include <variant>
#include <vector>

namespace cuminpitch::control {

/// Calls to a control instance, independent of the protocol that carries them: the code
/// that receives a call decodes it and encodes the answer. Each call gets one answer.
namespace call {

/// Replaces all declarations of one team with those of a document.
struct declare
{
    core::request_id id;
    core::team_id team;
    control::document document;
    settings_tree settings; ///< All settings of the team, as compiled from the document.
};

/// Reads the newest document.
struct read_document
{
    core::request_id id;
};

/// A backend server announces that it is available, is leaving, or is gone. With the
/// state `gone` every field but the server id may be empty; an incarnation of 0 then
/// means the current one.
struct announce
{
    core::request_id id;
    server_record server;
};

/// Asks which entries the caller should connect to.
struct list_entries
{
    core::request_id id;
    core::failure_domain_id caller_domain; ///< May be empty.
};

} // namespace call

using api_call =
    std::variant<call::declare, call::read_document, call::announce, call::list_entries>;

namespace call_result {

/// The call took effect and is committed, or had nothing to change.
struct accepted
{
};

/// The declarations are invalid and were not applied.
struct invalid_declarations
{
    std::vector<problem> problems;
};

/// This instance is a follower; the caller must repeat the call at the leader.
struct ask_leader
{
    core::endpoint http;
};

/// The announcement has no effect, because another server that started later has
/// announced itself at its address.
struct replaced
{
};

/// The outcome is unknown. The call may still have taken effect.
struct unavailable
{
    std::string reason;
};

/// The newest document. Its number is 0 if there is none.
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
    call_result::replaced,
    call_result::ask_leader,
    call_result::unavailable,
    call_result::newest_document,
    call_result::entries>;

} // namespace cuminpitch::control
