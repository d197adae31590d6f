#include "group_simulation.hpp"

#include "cuminpitch/wire/control_codec.hpp"

#include "cuminpitch/control/bootstrap.hpp"

#include <algorithm>

namespace cuminpitch::control {
namespace {

constexpr absl::Duration step_length = absl::Milliseconds(5);
constexpr absl::Duration delay = absl::Milliseconds(1);

core::endpoint endpoint_of(std::size_t i, std::uint16_t port)
{
    return {"10.0.0." + std::to_string(i + 1), port};
}

} // namespace

group_simulation::group_simulation(std::size_t instances, std::size_t seed_count)
    : seed_count_(seed_count)
{
    for (std::size_t i = 0; i < seed_count; ++i) {
        seeds_.push_back(endpoint_of(i, 1));
    }
    for (std::size_t i = 0; i < instances; ++i) {
        add();
        if (i < seed_count) {
            at(i).running.reset();
            at(i).identity = seed_identity(at(i).internal);
            const auto formed =
                consensus::form_group(*at(i).storage, initial_voters(seeds_));
            EXPECT_TRUE(formed.has_value());
            start(i);
        }
    }
}

node_options group_simulation::options(std::size_t i) const
{
    node_options it;
    it.id = core::instance_id("core-" + std::to_string(i));
    it.identity = instances_[i]->identity;
    it.internal = endpoint_of(i, 1);
    it.http = endpoint_of(i, 2);
    it.failure_domain = core::failure_domain_id("d" + std::to_string(i % domains));
    it.admits_members = true;
    it.peers = seeds_;
    std::erase(it.peers, it.internal);
    return it;
}

std::size_t group_simulation::add()
{
    const std::size_t i = instances_.size();
    if (i >= seed_count_) {
        seeds_.clear();
        for (std::size_t n = 0; n < i && seeds_.size() < seed_count_; ++n) {
            if (at(n).running) {
                seeds_.push_back(at(n).internal);
            }
        }
    }
    instances_.push_back(std::make_unique<instance>());
    at(i).internal = endpoint_of(i, 1);
    wipe(i);
    start(i);
    return i;
}

void group_simulation::wipe(std::size_t i)
{
    at(i).storage = std::make_unique<consensus::memory_storage>();
    at(i).identity = consensus::member_id("disk-" + std::to_string(++last_identity_));
}

void group_simulation::start(std::size_t i)
{
    at(i).running = node::make(
        options(i),
        at(i).storage->load().value(),
        compile_sample,
        core::random_source(i + 7),
        metrics_,
        now_);
    ASSERT_NE(at(i).running, nullptr);
}

void group_simulation::cut_link(std::size_t a, std::size_t b)
{
    cut_links_.insert({a, b});
    cut_links_.insert({b, a});
}

std::optional<std::size_t> group_simulation::find(const core::endpoint& internal) const
{
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        if (instances_[i]->internal == internal) {
            return i;
        }
    }
    return std::nullopt;
}

void group_simulation::record_for_entry(std::size_t i, const action::send_frame& it)
{
    at(i).bytes_sent[it.to] += net::compress_payload(it.message).payload.size();
    const auto decoded =
        wire::decode_control_message(net::decompress_payload(it.message).value().payload);
    if (decoded) {
        if (const auto* response = std::get_if<sync_response>(&decoded.value())) {
            // A change pushed after the answer has neither list; the lists are kept.
            auto& known = at(i).responses[it.to];
            auto control = std::move(known.control);
            auto named = std::move(known.named);
            known = *response;
            known.control = known.control.empty() ? std::move(control) : known.control;
            known.named = known.named.empty() ? std::move(named) : known.named;
        }
    }
}

std::optional<sync_response>
group_simulation::report(std::size_t i, const sync_request& it, absl::Duration time)
{
    at(i).responses.erase(it.entry.internal);
    at(i).running->handle(
        now_,
        event::frame_received{
            {it.entry.id, it.entry.internal},
            net::frame{net::channel::control, wire::encode(control::message(it))}});
    run_for(time);
    const auto found = at(i).responses.find(it.entry.internal);
    return found == at(i).responses.end() ? std::nullopt : std::optional(found->second);
}

void group_simulation::step(std::size_t i)
{
    auto& it = at(i);
    it.running->handle(now_, event::tick{});
    for (auto& action : it.running->take_actions()) {
        if (auto* answered = std::get_if<action::answer_call>(&action)) {
            it.answers[answered->id] = std::move(answered->answer);
        } else if (auto* sent = std::get_if<action::send_frame>(&action)) {
            const auto to = find(sent->to);
            if (!to) {
                record_for_entry(i, *sent);
            }
            if (to && !cut_links_.contains({i, *to})) {
                network_.push_back({now_ + delay, i, *to, std::move(sent->message)});
            }
        } else if (auto* state = std::get_if<consensus::write_hard_state>(&action)) {
            ASSERT_TRUE(it.storage->write(*state).has_value());
        } else if (auto* entries = std::get_if<consensus::write_entries>(&action)) {
            ASSERT_TRUE(it.storage->write(*entries).has_value());
        } else if (auto* snapshot = std::get_if<consensus::write_snapshot>(&action)) {
            ASSERT_TRUE(it.storage->write(*snapshot).has_value());
        } else if (std::holds_alternative<consensus::sync_writes>(action)) {
            ASSERT_TRUE(it.storage->sync().has_value());
        }
    }
}

void group_simulation::run_for(absl::Duration length)
{
    const absl::Time end = now_ + length;
    while (now_ < end) {
        now_ += step_length;
        for (std::size_t n = network_.size(); n > 0; --n) {
            message it = std::move(network_.front());
            network_.pop_front();
            auto& to = at(it.to);
            if (to.running && !cut_links_.contains({it.from, it.to})) {
                const auto& from = at(it.from).internal;
                to.running->handle(
                    now_,
                    event::frame_received{
                        {core::instance_id(from.str()), from}, std::move(it.frame)});
            }
        }
        for (std::size_t i = 0; i < size(); ++i) {
            if (at(i).running) {
                step(i);
            }
        }
    }
}

std::optional<std::size_t> group_simulation::leader()
{
    for (std::size_t i = 0; i < size(); ++i) {
        if (!at(i).running) {
            continue;
        }
        const auto it = ask(i, call::read_document{});
        if (it && std::holds_alternative<call_result::newest_document>(*it)) {
            return i;
        }
    }
    return std::nullopt;
}

std::size_t group_simulation::voters(std::size_t i)
{
    const auto stored = at(i).storage->load().value();
    consensus::member_set members;
    if (stored.snapshot) {
        members = stored.snapshot->info.members;
    }
    for (const auto& it : stored.entries) {
        if (const auto* set = std::get_if<consensus::member_set>(&it.payload)) {
            members = *set;
        }
    }
    return members.voter_count();
}

call::declare group_simulation::declare(std::uint64_t number)
{
    call::declare it;
    it.team = core::team_id("t");
    it.document = {number, "source " + std::to_string(number)};
    it.settings["teams/t/pools/a/entries"] = std::to_string(number);
    return it;
}

call::announce
group_simulation::announce(const std::string& server, upstream::availability state)
{
    call::announce it;
    it.server.pool = pool_a;
    it.server.announcement.server = core::server_id(server);
    it.server.announcement.incarnation = 1;
    it.server.announcement.sequence = static_cast<std::uint64_t>(state) + 1;
    it.server.announcement.state = state;
    it.server.announcement.address = {"10.9.0.1", 80};
    return it;
}

} // namespace cuminpitch::control
