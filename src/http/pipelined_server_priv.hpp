#pragma once

#include "event_loop_priv.hpp"

namespace cuminpitch::http {

/// A server that reads further requests of a connection while earlier ones run.
class pipelined_server : public server
{
public:
    static core::result<std::unique_ptr<server>>
    create(server_options options, handler it);

    ~pipelined_server() override;

    core::endpoint listening() const override;
    void stop_listening() override;
    void drain() override { context_.is_draining = true; }
    std::size_t in_flight() const override { return context_.in_flight; }

private:
    pipelined_server(server_options options, handler it, int listener);

    pipelined_context context_;
    const int listener_;
    std::uint16_t port_ = 0;
    std::vector<std::unique_ptr<event_loop>> loops_;
};

} // namespace cuminpitch::http
