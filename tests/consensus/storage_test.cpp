#include "cuminpitch/consensus/file_storage.hpp"
#include "cuminpitch/consensus/memory_storage.hpp"
#include "cuminpitch/consensus/replica.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace cuminpitch::consensus {
namespace {

namespace fs = std::filesystem;

entry command_entry(std::uint64_t index, std::uint64_t term, std::string bytes = "x")
{
    return {core::log_index(index), core::term(term), command{std::move(bytes)}};
}

class file_storage_test : public testing::Test
{
protected:
    file_storage_test() { fs::remove_all(folder); }
    ~file_storage_test() override { fs::remove_all(folder); }

    core::result<std::unique_ptr<file_storage>> open()
    {
        return file_storage::open(folder, random);
    }
    /// Writes entries 1 and 2, entry 3, and entry 4, with a sync after each of the three.
    void fill()
    {
        auto store = open().value();
        ASSERT_TRUE(store->load());
        ASSERT_TRUE(
            store->write(write_hard_state{{core::term(2), member_id("a"), group_id(7)}}));
        ASSERT_TRUE(
            store->write(write_entries{{command_entry(1, 1), command_entry(2, 1)}}));
        ASSERT_TRUE(store->sync());
        ASSERT_TRUE(store->write(write_entries{{command_entry(3, 2)}}));
        ASSERT_TRUE(store->sync());
        ASSERT_TRUE(store->write(write_entries{{command_entry(4, 2)}}));
        ASSERT_TRUE(store->sync());
    }
    void overwrite(const char* name, std::uintmax_t offset, char byte)
    {
        std::fstream out(folder / name, std::ios::in | std::ios::out | std::ios::binary);
        out.seekp(static_cast<std::streamoff>(offset));
        out.put(byte);
    }
    core::result<stored_state> reload()
    {
        auto store = open();
        return store ? store.value()->load() : core::result<stored_state>(store.error());
    }

    fs::path folder = fs::temp_directory_path() /
                      ("cuminpitch-consensus-" + std::to_string(::getpid()));
    core::random_source random{1};
};

// Guards against state that is lost or changed by a restart.
TEST_F(file_storage_test, keeps_synced_state)
{
    fill();
    const auto state = reload().value();
    EXPECT_EQ(state.hard_state, (hard_state{core::term(2), member_id("a"), group_id(7)}));
    EXPECT_EQ(state.entries.size(), 4U);
    EXPECT_EQ(state.entries.back(), command_entry(4, 2));
}

// Guards against an identity that changes although the disk is the same, or is reused
// after the disk was replaced.
TEST_F(file_storage_test, identity_belongs_to_the_folder)
{
    const member_id first = open().value()->identity();
    EXPECT_EQ(open().value()->identity(), first);
    fs::remove_all(folder);
    EXPECT_NE(open().value()->identity(), first);
}

// Guards against two processes that write to the same folder.
TEST_F(file_storage_test, refuses_a_folder_in_use)
{
    const auto store = open().value();
    EXPECT_EQ(open().error(), std::errc::device_or_resource_busy);
}

// Guards against a log that can't be read, or gains entries, after an interrupted write.
TEST_F(file_storage_test, truncates_a_torn_tail)
{
    fill();
    const auto size = fs::file_size(folder / "log");
    for (std::uintmax_t lost = 1; lost < 20; ++lost) {
        fs::resize_file(folder / "log", size - lost);
        EXPECT_EQ(reload().value().entries.size(), 3U) << lost;
        fs::remove_all(folder);
        fill();
    }
    // A crash can leave a file with its new size but without the data, which reads as
    // zeros.
    fs::resize_file(folder / "log", size + 500);
    EXPECT_EQ(reload().value().entries.size(), 4U);
    EXPECT_EQ(fs::file_size(folder / "log"), size);
}

// Guards against synced entries that are dropped without an error when an earlier record
// is damaged.
TEST_F(file_storage_test, reports_a_damaged_middle_record)
{
    fill();
    const auto size = fs::file_size(folder / "log");
    const auto last_record = size - (size - 8) / 4;
    for (std::uintmax_t at = 8; at < last_record - 30; at += 7) {
        fs::remove_all(folder);
        fill();
        overwrite("log", at, '\x7f');
        EXPECT_EQ(reload().error(), core::errc::damaged_record) << at;
    }
}

// Guards against a vote that is lost without an error because its file is damaged or
// missing.
TEST_F(file_storage_test, reports_damaged_or_missing_files)
{
    fill();
    overwrite("hard_state", 20, '\x7f');
    EXPECT_EQ(reload().error(), core::errc::damaged_record);
    fs::remove(folder / "hard_state");
    EXPECT_EQ(reload().error(), core::errc::damaged_record);
    fs::remove(folder / "identity");
    EXPECT_EQ(reload().error(), core::errc::damaged_record);
    overwrite("log", 0, 'X');
    std::ofstream(folder / "identity") << "other";
    EXPECT_EQ(reload().error(), core::errc::incompatible_format);
}

// Guards against replaced entries that are still there after a restart.
TEST_F(file_storage_test, later_entries_replace_earlier_ones)
{
    fill();
    {
        auto store = open().value();
        ASSERT_TRUE(store->load());
        ASSERT_TRUE(store->write(write_entries{{command_entry(5, 2)}}));
        ASSERT_TRUE(store->write(write_entries{{command_entry(2, 3, "new")}}));
        ASSERT_TRUE(store->sync());
    }
    const auto state = reload().value();
    ASSERT_EQ(state.entries.size(), 2U);
    EXPECT_EQ(state.entries.back(), command_entry(2, 3, "new"));
}

// Guards against a log that grows without bound, and a snapshot that is lost or damaged.
TEST_F(file_storage_test, snapshot_replaces_the_log)
{
    fill();
    snapshot taken;
    taken.info = {core::log_index(3), core::term(2), member_set({{member_id("a")}})};
    taken.bytes = std::make_shared<const std::string>("state");
    {
        auto store = open().value();
        ASSERT_TRUE(store->load());
        ASSERT_TRUE(store->write(write_snapshot{taken, {command_entry(4, 2)}}));
        ASSERT_TRUE(store->write(write_entries{{command_entry(5, 2)}}));
        ASSERT_TRUE(store->sync());
    }
    const auto state = reload().value();
    ASSERT_TRUE(state.snapshot);
    EXPECT_EQ(state.snapshot->info, taken.info);
    EXPECT_EQ(*state.snapshot->bytes, "state");
    EXPECT_EQ(state.entries.size(), 2U);
    EXPECT_LT(fs::file_size(folder / "log"), 150U);
    overwrite("snapshot", fs::file_size(folder / "snapshot") - 1, '\x7f');
    EXPECT_EQ(reload().error(), core::errc::damaged_record);
}

// Guards against a replica that can't start after a crash between the writes of a
// received snapshot and of the log.
TEST_F(file_storage_test, starts_with_a_log_older_than_the_snapshot)
{
    fill();
    fs::copy_file(folder / "log", folder / "old_log");
    snapshot taken;
    taken.info = {core::log_index(9), core::term(2), member_set({{member_id("a")}})};
    taken.bytes = std::make_shared<const std::string>("state");
    auto store = open().value();
    ASSERT_TRUE(store->load());
    ASSERT_TRUE(store->write(write_snapshot{taken, {}}));
    store.reset();
    fs::rename(folder / "old_log", folder / "log");
    // The only voter appends one entry after each start.
    for (const std::uint64_t last : {10, 11}) {
        store = open().value();
        absl::Time now = absl::UnixEpoch();
        auto it = replica::make({}, member_id("a"), store->load().value(), random, now);
        ASSERT_TRUE(it);
        now += absl::Seconds(2);
        it->tick(now);
        for (const auto& what : it->take_actions()) {
            ASSERT_TRUE(execute(*store, what));
        }
        EXPECT_EQ(it->commit_index(), core::log_index(last));
        store.reset();
    }
}

// Guards against a second group that is formed when `init` is repeated with other voters.
TEST_F(file_storage_test, forms_one_group_only)
{
    const member_set voters({{member_id("a")}, {member_id("b")}});
    auto store = open().value();
    EXPECT_TRUE(form_group(*store, voters));
    EXPECT_TRUE(form_group(*store, voters));
    const auto other = form_group(*store, member_set({{member_id("c")}}));
    ASSERT_FALSE(other);
    EXPECT_EQ(other.error(), core::errc::conflict);
}

// Guards against a test storage that keeps writes which a power loss would lose.
TEST(memory_storage, loses_unsynced_writes)
{
    memory_storage store;
    ASSERT_TRUE(store.write(write_entries{{command_entry(1, 1)}}));
    ASSERT_TRUE(store.sync());
    ASSERT_TRUE(store.write(write_entries{{command_entry(2, 1), command_entry(3, 1)}}));
    store.crash(1);
    EXPECT_EQ(store.load().value().entries.size(), 2U);
    store.fail_syncs();
    EXPECT_EQ(store.sync().error(), core::errc::storage_failed);
}

} // namespace
} // namespace cuminpitch::consensus
