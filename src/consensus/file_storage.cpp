#include "cuminpitch/consensus/file_storage.hpp"

#include "bytes_priv.hpp"
#include "data_folder_priv.hpp"
#include "log_file_priv.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace cuminpitch::consensus {
namespace {

constexpr const char* identity_file = "identity";
constexpr const char* state_file = "hard_state";
constexpr const char* log_file = "log";
constexpr const char* snapshot_file = "snapshot";
constexpr std::string_view identity_magic = "cuminpitch data folder 1\n";
constexpr std::string_view state_magic = "cpstat01";
constexpr std::string_view snapshot_magic = "cpsnap01";
constexpr std::size_t identity_digits = 32;

core::result<hard_state> decode_state(std::string_view bytes)
{
    auto payload = decode_checked_file(state_magic, bytes);
    if (!payload) {
        return payload.error();
    }
    byte_reader in(payload.value());
    hard_state out = in.get_hard_state();
    if (!in.ok() || !in.at_end()) {
        return make_error_code(core::errc::damaged_record);
    }
    return out;
}

std::string encode_state(const hard_state& it)
{
    byte_writer out;
    out.put(it);
    const std::string payload = out.take();
    return encode_checked_file_header(state_magic, payload, {}) + payload;
}

/// The encoded state is at the end of the file. It is kept in the same buffer, as it may
/// be the largest part of the memory of the process.
core::result<snapshot> decode_snapshot(std::string bytes)
{
    const auto payload = decode_checked_file(snapshot_magic, bytes);
    if (!payload) {
        return payload.error();
    }
    byte_reader in(payload.value());
    snapshot out;
    out.info = in.get_snapshot_info();
    const std::size_t state_bytes = in.get_u32();
    if (!in.ok() || in.remaining() != state_bytes) {
        return make_error_code(core::errc::damaged_record);
    }
    bytes.erase(0, bytes.size() - state_bytes);
    out.bytes = std::make_shared<const std::string>(std::move(bytes));
    return out;
}

/// Returns what precedes the encoded state in the payload of a snapshot file.
std::string encode_snapshot_prefix(const snapshot& it)
{
    byte_writer out;
    out.put(it.info);
    out.put_u32(static_cast<std::uint32_t>(it.bytes->size()));
    return out.take();
}

core::result<member_id> decode_identity(std::string_view bytes)
{
    const bool known = bytes.starts_with(identity_magic) &&
                       bytes.size() == identity_magic.size() + identity_digits + 1;
    if (!known) {
        return make_error_code(core::errc::incompatible_format);
    }
    return member_id(std::string(bytes.substr(identity_magic.size(), identity_digits)));
}

} // namespace

struct file_storage::impl
{
    data_folder folder;
    member_id id;
    file_handle log;
    std::uint64_t log_bytes = 0;
    bool loaded = false;
    /// Set by the first failed write. It is then unknown what is on the disk, so all
    /// later writes fail.
    bool failed = false;
    hard_state loaded_state;
    std::optional<hard_state> unsynced_state;
    std::vector<entry> unsynced_entries;

    core::result<void> load_or_create_identity(const member_id& new_identity);
    core::result<void> create_files(const member_id& new_identity);
    core::result<void> load_log(stored_state& out);
    core::result<void> load_snapshot(stored_state& out);
    core::result<void> replace_log(const std::vector<entry>& entries);
    core::result<void> flush();
    core::result<void> record_failure(core::result<void> outcome)
    {
        failed = failed || !outcome;
        return outcome;
    }
};

core::result<void>
file_storage::impl::load_or_create_identity(const member_id& new_identity)
{
    auto stored = folder.read(identity_file);
    if (!stored) {
        return stored.error();
    }
    if (!stored.value()) {
        return create_files(new_identity);
    }
    auto decoded = decode_identity(*stored.value());
    if (!decoded) {
        return decoded.error();
    }
    id = decoded.value();
    return boost::outcome_v2::success();
}

core::result<void> file_storage::impl::create_files(const member_id& new_identity)
{
    // The identity is written last, so a folder with an identity has all files. A folder
    // with log records or a snapshot but without an identity has lost its identity.
    auto log_content = folder.read(log_file);
    auto old_snapshot = folder.read(snapshot_file);
    if (!log_content || !old_snapshot) {
        return make_error_code(core::errc::storage_failed);
    }
    const bool has_records =
        log_content.value() && log_content.value()->size() > empty_log_file().size();
    if (has_records || old_snapshot.value()) {
        return make_error_code(core::errc::damaged_record);
    }
    id = new_identity;
    const std::string identity = std::string(identity_magic) + id.str() + "\n";
    if (auto done = folder.replace(log_file, {empty_log_file()}); !done) {
        return done.error();
    }
    if (auto done = folder.replace(state_file, {encode_state({})}); !done) {
        return done.error();
    }
    return folder.replace(identity_file, {identity});
}

core::result<void> file_storage::impl::load_log(stored_state& out)
{
    auto bytes = folder.read(log_file);
    if (!bytes) {
        return bytes.error();
    }
    if (!bytes.value()) {
        return make_error_code(core::errc::damaged_record);
    }
    auto decoded = decode_log_file(*bytes.value());
    if (!decoded) {
        return decoded.error();
    }
    auto file = folder.open_for_writing(log_file);
    if (!file) {
        return file.error();
    }
    log = std::move(file.value());
    log_bytes = decoded.value().intact_bytes;
    out.entries = std::move(decoded.value().entries);
    if (log_bytes < bytes.value()->size()) {
        return truncate_durably(log, log_bytes);
    }
    return boost::outcome_v2::success();
}

core::result<void> file_storage::impl::load_snapshot(stored_state& out)
{
    auto bytes = folder.read(snapshot_file);
    if (!bytes) {
        return bytes.error();
    }
    if (!bytes.value()) {
        return boost::outcome_v2::success();
    }
    auto decoded = decode_snapshot(*std::move(bytes).value());
    if (!decoded) {
        return decoded.error();
    }
    out.snapshot = std::move(decoded.value());
    return boost::outcome_v2::success();
}

core::result<void> file_storage::impl::replace_log(const std::vector<entry>& entries)
{
    std::string bytes = empty_log_file();
    if (!entries.empty()) {
        bytes += encode_log_record(entries);
    }
    if (auto done = folder.replace(log_file, {bytes}); !done) {
        return done.error();
    }
    auto file = folder.open_for_writing(log_file);
    if (!file) {
        return file.error();
    }
    log = std::move(file.value());
    log_bytes = bytes.size();
    return boost::outcome_v2::success();
}

core::result<void> file_storage::impl::flush()
{
    if (failed || !loaded) {
        return make_error_code(core::errc::storage_failed);
    }
    // The hard state is written before the entries, so that the stored term is never
    // lower than the term of a stored entry.
    if (unsynced_state) {
        if (auto done = folder.replace(state_file, {encode_state(*unsynced_state)});
            !done) {
            return done.error();
        }
        unsynced_state.reset();
    }
    if (unsynced_entries.empty()) {
        return boost::outcome_v2::success();
    }
    const std::string record = encode_log_record(unsynced_entries);
    if (auto done = write_durably(log, log_bytes, record); !done) {
        return done.error();
    }
    log_bytes += record.size();
    unsynced_entries.clear();
    return boost::outcome_v2::success();
}

file_storage::file_storage(std::unique_ptr<impl> it) : impl_(std::move(it)) {}
file_storage::~file_storage() = default;

core::result<std::unique_ptr<file_storage>> file_storage::open(
    const std::filesystem::path& folder,
    core::random_source& random,
    const std::optional<member_id>& new_identity)
{
    auto opened = data_folder::open(folder);
    if (!opened) {
        return opened.error();
    }
    auto it = std::make_unique<impl>();
    it->folder = std::move(opened.value());
    const member_id random_id(absl::StrCat(
        absl::Hex(random(), absl::kZeroPad16), absl::Hex(random(), absl::kZeroPad16)));
    if (auto done = it->load_or_create_identity(new_identity.value_or(random_id));
        !done) {
        return done.error();
    }
    return std::unique_ptr<file_storage>(new file_storage(std::move(it)));
}

const member_id& file_storage::identity() const
{
    return impl_->id;
}

core::result<stored_state> file_storage::load()
{
    stored_state out;
    auto state = impl_->folder.read(state_file);
    if (!state) {
        return state.error();
    }
    if (!state.value()) {
        return make_error_code(core::errc::damaged_record);
    }
    auto decoded = decode_state(*state.value());
    if (!decoded) {
        return decoded.error();
    }
    out.hard_state = std::move(decoded.value());
    if (auto done = impl_->load_snapshot(out); !done) {
        return done.error();
    }
    if (auto done = impl_->load_log(out); !done) {
        return done.error();
    }
    impl_->loaded = true;
    impl_->loaded_state = out.hard_state;
    return out;
}

core::result<void> file_storage::write(const write_hard_state& update)
{
    impl_->unsynced_state = update.state;
    return boost::outcome_v2::success();
}

core::result<void> file_storage::write(const write_entries& update)
{
    auto& out = impl_->unsynced_entries;
    while (!out.empty() && !update.entries.empty() &&
           out.back().index >= update.entries.front().index) {
        out.pop_back();
    }
    out.insert(out.end(), update.entries.begin(), update.entries.end());
    return boost::outcome_v2::success();
}

core::result<void> file_storage::write(const write_snapshot& update)
{
    if (auto done = sync(); !done) {
        return done.error();
    }
    // A crash between the writes of the snapshot and of the log leaves the old log. The
    // new snapshot covers its entries or conflicts with them; replica::make() drops the
    // entries that don't continue the snapshot.
    const std::string& state = *update.snapshot.bytes;
    const std::string prefix = encode_snapshot_prefix(update.snapshot);
    const std::string header = encode_checked_file_header(snapshot_magic, prefix, state);
    if (auto done = impl_->record_failure(
            impl_->folder.replace(snapshot_file, {header, prefix, state}));
        !done) {
        return done.error();
    }
    return impl_->record_failure(impl_->replace_log(update.kept));
}

core::result<void> file_storage::probe()
{
    impl_->unsynced_state = impl_->loaded_state;
    return sync();
}

core::result<void> file_storage::sync()
{
    return impl_->record_failure(impl_->flush());
}

} // namespace cuminpitch::consensus
