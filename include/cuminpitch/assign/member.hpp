#pragma once

#include "cuminpitch/core/ids.hpp"

namespace cuminpitch::assign {

/// An entry instance that pools can be assigned to.
struct member
{
    core::instance_id id;
    core::failure_domain_id domain;

    friend bool operator==(const member&, const member&) = default;
};

} // namespace cuminpitch::assign
