#include "cuminpitch/control/view_replica.hpp"

#include "control/view_builder_priv.hpp"
#include "cuminpitch/wire/control_codec.hpp"

#include <utility>

namespace cuminpitch::control {

class view_replica::impl
{
public:
    explicit impl(compile_function compile) : compile_(std::move(compile))
    {
        view_ = build_view({}, std::make_shared<const config::declarations>());
        contents_ = std::make_shared<fleet_contents>();
    }

    bool apply(const update& it)
    {
        return std::visit([&](const auto& body) { return apply_body(body); }, it);
    }

    const fleet_view_ptr& view() const { return view_; }
    std::shared_ptr<const fleet_contents> contents() const { return contents_; }

private:
    bool apply_body(const delta& it)
    {
        if (it.base > contents_->revision) {
            return false;
        }
        if (it.current <= contents_->revision) {
            return view_->revision >= it.current;
        }
        // Contents returned by contents() must not change, so they are copied on write.
        if (contents_.use_count() > 1) {
            contents_ = std::make_shared<fleet_contents>(*contents_);
        }
        for (const auto& command : it.commands) {
            if (command.revision <= contents_->revision) {
                continue;
            }
            if (std::holds_alternative<server_announced>(command.command)) {
                servers_changed_ = true;
            }
            if (apply_command(*contents_, command)) {
                settings_changed_ = true;
                append_paths(std::get<change>(command.command), changed_paths_);
            }
        }
        return publish_view();
    }

    bool apply_body(const std::shared_ptr<const fleet_contents>& it)
    {
        if (it->revision <= contents_->revision) {
            return view_->revision >= it->revision;
        }
        contents_ = std::make_shared<fleet_contents>(*it);
        settings_changed_ = true;
        servers_changed_ = true;
        can_compile_incrementally_ = false;
        return publish_view();
    }

    bool apply_body(const packed_contents& it)
    {
        auto contents = wire::unpack_contents(*it.bytes);
        return contents && apply_body(contents.value());
    }

    bool publish_view()
    {
        auto declarations = view_->declarations;
        if (settings_changed_) {
            const compile_base base{declarations, changed_paths_};
            declarations =
                compile_(
                    contents_->settings, can_compile_incrementally_ ? &base : nullptr)
                    .declarations;
            if (!declarations) {
                return false;
            }
            settings_changed_ = false;
            can_compile_incrementally_ = true;
            changed_paths_.clear();
        }
        view_ = build_view(
            *contents_,
            std::move(declarations),
            servers_changed_ ? nullptr : view_->servers);
        servers_changed_ = false;
        return true;
    }

    compile_function compile_;
    std::shared_ptr<fleet_contents> contents_;
    fleet_view_ptr view_;
    // Whether the settings in contents_ differ from those that the view was compiled
    // from.
    bool settings_changed_ = false;
    // Whether the servers in contents_ differ from those in the view.
    bool servers_changed_ = false;
    // Paths changed since the view was compiled, and whether these are all the changes,
    // so that the settings can be compiled incrementally.
    std::vector<std::string> changed_paths_;
    bool can_compile_incrementally_ = true;
};

view_replica::view_replica(compile_function compile)
    : impl_(std::make_unique<impl>(std::move(compile)))
{
}

view_replica::~view_replica() = default;
view_replica::view_replica(view_replica&&) noexcept = default;
view_replica& view_replica::operator=(view_replica&&) noexcept = default;

bool view_replica::apply(const update& it)
{
    return impl_->apply(it);
}

core::revision view_replica::revision() const
{
    return impl_->view()->revision;
}

fleet_view_ptr view_replica::view() const
{
    return impl_->view();
}

std::shared_ptr<const fleet_contents> view_replica::contents() const
{
    return impl_->contents();
}

} // namespace cuminpitch::control
