#include "pipelined_exchange_priv.hpp"

#include "pipelined_connection_priv.hpp"

namespace cuminpitch::http {

void pipelined_exchange::respond(response it)
{
    connection_->answer(*this, std::move(it), std::string::npos);
}

void pipelined_exchange::break_off(std::optional<response> it, std::size_t body_bytes)
{
    connection_->answer(*this, std::move(it), body_bytes);
}

void pipelined_exchange::on_caller_gone(std::function<void()> callback)
{
    connection_->on_caller_gone(*this, std::move(callback));
}

} // namespace cuminpitch::http
