#pragma once

#include "cuminpitch/core/ids.hpp"

#include <string>
#include <variant>
#include <vector>

namespace cuminpitch::control {

/// Why a settings path is invalid.
struct problem
{
    std::string path;
    std::string reason;

    friend bool operator==(const problem&, const problem&) = default;
};

struct applied
{
    core::revision revision;

    friend bool operator==(const applied&, const applied&) = default;
};

/// A team whose settings the change sets or deletes has changed after the base revision.
struct conflict
{
    core::revision current;
    std::vector<std::string> paths; ///< Paths of the change that belong to such teams.

    friend bool operator==(const conflict&, const conflict&) = default;
};

struct invalid
{
    std::vector<problem> problems;

    friend bool operator==(const invalid&, const invalid&) = default;
};

/// The command is outdated or has no effect.
struct ignored
{
    friend bool operator==(const ignored&, const ignored&) = default;
};

using outcome = std::variant<applied, conflict, invalid, ignored>;

} // namespace cuminpitch::control
