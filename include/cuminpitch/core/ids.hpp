#pragma once

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>
#include <utility>

namespace cuminpitch::core {

/// A string whose type keeps it apart from identifiers of other kinds.
template <class Tag>
class string_id
{
public:
    string_id() = default;
    explicit string_id(std::string value) : value_(std::move(value)) {}

    const std::string& str() const { return value_; }
    bool empty() const { return value_.empty(); }

    friend auto operator<=>(const string_id&, const string_id&) = default;
    friend bool operator==(const string_id&, const string_id&) = default;
    friend std::ostream& operator<<(std::ostream& out, const string_id& id)
    {
        return out << id.value_;
    }
    template <class H>
    friend H AbslHashValue(H state, const string_id& id)
    {
        return H::combine(std::move(state), id.value_);
    }

private:
    std::string value_;
};

/// A number whose type keeps it apart from numbers of other kinds. 0 means "none".
template <class Tag>
class integer_id
{
public:
    constexpr integer_id() = default;
    explicit constexpr integer_id(std::uint64_t value) : value_(value) {}

    constexpr std::uint64_t value() const { return value_; }
    constexpr integer_id next() const { return integer_id(value_ + 1); }

    friend constexpr auto operator<=>(const integer_id&, const integer_id&) = default;
    friend constexpr bool operator==(const integer_id&, const integer_id&) = default;
    friend std::ostream& operator<<(std::ostream& out, const integer_id& id)
    {
        return out << id.value_;
    }
    template <class H>
    friend H AbslHashValue(H state, const integer_id& id)
    {
        return H::combine(std::move(state), id.value_);
    }

private:
    std::uint64_t value_ = 0;
};

using team_id = string_id<struct team_tag>;
using instance_id = string_id<struct instance_tag>;
using server_id = string_id<struct server_tag>;
using failure_domain_id = string_id<struct failure_domain_tag>;
using change_id = string_id<struct change_tag>;
using caller_id = string_id<struct caller_tag>;

/// The version of the fleet state: the log index of the last applied command.
using revision = integer_id<struct revision_tag>;
using term = integer_id<struct term_tag>;
using log_index = integer_id<struct log_index_tag>;
using request_id = integer_id<struct request_tag>;
/// Random number of one start of a process.
using start_id = integer_id<struct start_tag>;

/// A name within a team's subtree of the settings.
template <class Tag>
struct team_scoped_id
{
    team_id team;
    std::string name;

    /// Returns "<team>/<name>", the form used in logs and metrics.
    std::string str() const { return team.str() + "/" + name; }

    friend auto operator<=>(const team_scoped_id&, const team_scoped_id&) = default;
    friend bool operator==(const team_scoped_id&, const team_scoped_id&) = default;
    friend std::ostream& operator<<(std::ostream& out, const team_scoped_id& id)
    {
        return out << id.str();
    }
    template <class H>
    friend H AbslHashValue(H state, const team_scoped_id& id)
    {
        return H::combine(std::move(state), id.team, id.name);
    }
};

using pool_id = team_scoped_id<struct pool_tag>;
using route_id = team_scoped_id<struct route_tag>;
using customer_id = team_scoped_id<struct customer_tag>;

} // namespace cuminpitch::core
