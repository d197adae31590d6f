#pragma once

#include "cuminpitch/core/ids.hpp"
#include "cuminpitch/http/client.hpp"
#include "cuminpitch/http/message.hpp"
#include "cuminpitch/net/transport.hpp"
#include "cuminpitch/telemetry/log.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace cuminpitch::entry {

/// Identifies an HTTP call that this entry started. Unique for the lifetime of a process.
using call_id = core::integer_id<struct call_tag>;

namespace event {

struct http_request
{
    core::request_id id; ///< Unique for the lifetime of a process.
    std::shared_ptr<const http::request> message;
};

struct caller_gone
{
    core::request_id id;
};

struct call_finished
{
    call_id call;
    http::client_result result;
};

struct frame_received
{
    net::peer from;
    net::frame message;
};

struct tick
{
};

/// A planned stop begins.
struct stop
{
};

/// The process settings list different control instances than before.
struct control_changed
{
    std::vector<core::endpoint> control;
};

} // namespace event

using node_event = std::variant<
    event::http_request,
    event::caller_gone,
    event::call_finished,
    event::frame_received,
    event::tick,
    event::stop,
    event::control_changed>;

namespace action {

struct http_respond
{
    core::request_id id;
    http::response response;
};

struct start_call
{
    call_id call;
    http::client_request request;
};

struct cancel_call
{
    call_id call;
};

struct send_frame
{
    core::endpoint to;
    net::frame message;
};

struct write_log
{
    telemetry::severity severity = telemetry::severity::info;
    std::string event;
    std::vector<telemetry::field> fields;
};

/// Ends the connections of callers in order: http::server::drain().
struct drain_connections
{
};

/// Stops accepting connections.
struct stop_listening
{
};

/// The planned stop is complete, so the process may exit.
struct exit
{
};

} // namespace action

using node_action = std::variant<
    action::http_respond,
    action::start_call,
    action::cancel_call,
    action::send_frame,
    action::write_log,
    action::drain_connections,
    action::stop_listening,
    action::exit>;

} // namespace cuminpitch::entry
