#include "cuminpitch/core/error.hpp"

#include <string>

namespace cuminpitch::core {
namespace {

class category : public std::error_category
{
public:
    const char* name() const noexcept override { return "cuminpitch"; }
    std::string message(int value) const override
    {
        switch (static_cast<errc>(value)) {
        case errc::ok:
            return "no error";
        case errc::malformed_message:
            return "malformed message";
        case errc::damaged_record:
            return "damaged record in the stored log";
        case errc::incompatible_format:
            return "stored file has an unknown format";
        case errc::storage_failed:
            return "write or sync failed";
        case errc::not_leader:
            return "this instance is not the leader";
        case errc::not_initialized:
            return "this instance is not in a group";
        case errc::conflict:
            return "the change was made against an outdated revision";
        case errc::invalid_change:
            return "the change would make the declarations invalid";
        case errc::address_in_use:
            return "cannot open the listening address";
        case errc::unavailable:
            return "no peer is reachable";
        }
        return "unknown error";
    }
};

} // namespace

const std::error_category& error_category()
{
    static const category instance;
    return instance;
}

} // namespace cuminpitch::core
