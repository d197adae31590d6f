#pragma once

namespace cuminpitch::core {

/// Visitor for std::visit() that is made of one lambda per alternative.
template <class... Ts>
struct overloaded : Ts...
{
    using Ts::operator()...;
};
template <class... Ts>
overloaded(Ts...) -> overloaded<Ts...>;

} // namespace cuminpitch::core
