#pragma once

#include "cuminpitch/control/compile.hpp"
#include "cuminpitch/control/fleet_contents.hpp"

#include <memory>

namespace cuminpitch::control {

/// The fleet state as held by an entry. Its revision never decreases.
class view_replica
{
public:
    explicit view_replica(compile_function compile);
    ~view_replica();
    view_replica(view_replica&&) noexcept;
    view_replica& operator=(view_replica&&) noexcept;

    /// Applies the newer part of an update and ignores the rest. Returns false and leaves
    /// the view unchanged if the delta starts after the revision held here, or if the
    /// settings can't be compiled here.
    bool apply(const update& it);

    /// Revision of the view, 0 before the first update.
    core::revision revision() const;
    /// Never null. The pointer stays the same until the revision changes.
    fleet_view_ptr view() const;
    /// The newest contents received, for peers that start while control is unreachable.
    std::shared_ptr<const fleet_contents> contents() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace cuminpitch::control
