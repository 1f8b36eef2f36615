// Tests of upstream_registry: the directory of upstreams with late, expired and
// repeated rows.

#include "Core/upstream_registry.h"

#include <catch2/catch.hpp>

namespace almondmoor {

namespace {

    upstream_record recordOf(const std::string& id, std::int64_t startedAt, bool isLeaving = false)
    {
        upstream_record it;
        it.entry.id = id;
        it.entry.address = "10.0.0.1:" + std::to_string(8000 + startedAt);
        it.entry.service = "orders";
        it.entry.isLeaving = isLeaving;
        it.entry.startedAtUnixMs = startedAt;
        return it;
    }

    constexpr instant begin { std::chrono::hours(1) };

} // namespace

TEST_CASE("a record of an earlier start is dropped", "[book]")
{
    upstream_registry registry(upstream_registry_settings {});
    CHECK(registry.apply(recordOf("u", 5)));
    CHECK_FALSE(registry.apply(recordOf("u", 4, true)));
    CHECK(registry.directory().at("u").address == "10.0.0.1:8005");
    CHECK_FALSE(registry.directory().at("u").isLeaving);
    CHECK(registry.apply(recordOf("u", 6)));
    CHECK(registry.directory().at("u").address == "10.0.0.1:8006");
}

TEST_CASE("an upstream is removed immediately if its row is removed without an outage of the store", "[book]")
{
    upstream_registry registry(upstream_registry_settings {});
    registry.apply(recordOf("u", 1));
    CHECK(registry.removeAll({ "u" }, begin));
    CHECK(registry.directory().empty());
}

TEST_CASE("upstreams whose rows expired during an outage of the store stay for a grace period", "[book]")
{
    const upstream_registry_settings settings;
    upstream_registry registry(settings);
    registry.apply(recordOf("back", 1));
    registry.apply(recordOf("gone", 1));
    registry.apply(recordOf("leaving", 1, true));
    registry.recordStoreRecovery(begin);
    CHECK(registry.keepOnly({}, begin + std::chrono::milliseconds(1)));
    // The upstream that was leaving is removed; the rows of the others may have expired.
    CHECK(registry.directory().size() == 2);
    registry.apply(recordOf("back", 1));
    CHECK_FALSE(registry.expire(begin + settings.removalGracePeriod / 2));
    CHECK(registry.expire(begin + settings.removalGracePeriod));
    CHECK(registry.directory().count("back") == 1);
    CHECK(registry.directory().count("gone") == 0);
}

TEST_CASE("upstreams that left while a host was partitioned from the store are removed once it learns of their removal", "[book]")
{
    upstream_registry registry(upstream_registry_settings {});
    for (int index = 0; index < 12; ++index)
        registry.apply(recordOf("u" + std::to_string(index), 1));
    registry.recordStoreRecovery(begin);
    CHECK(registry.removeAll({ "u0", "u1" }, begin));
    CHECK(registry.directory().size() == 10);
    CHECK(registry.directory().count("u0") == 0);
}

// Guards against upstreams that have left and get requests again because the store came back from a copy that holds their
// rows, and against upstreams that are lost because the copy does not hold theirs.
TEST_CASE("rows of an older copy bring back no upstream that has left, and their lack removes none that runs", "[book][rewind]")
{
    const upstream_registry_settings settings;
    upstream_registry registry(settings);
    for (const char* id : { "left", "restored", "born", "stays" })
        registry.apply(recordOf(id, 1));
    registry.apply(recordOf("leaving", 1, true));
    CHECK(registry.removeAll({ "left", "restored" }, begin));

    // The copy holds the rows of those that left, as they were, and lacks that of the newest.
    CHECK_FALSE(registry.applyFromCopy(recordOf("left", 1), begin));
    CHECK_FALSE(registry.applyFromCopy(recordOf("restored", 1), begin));
    CHECK_FALSE(registry.applyFromCopy(recordOf("leaving", 1), begin));
    CHECK(registry.applyFromCopy(recordOf("stays", 1), begin));
    CHECK_FALSE(registry.keepOnlyFromCopy({ "left", "restored", "leaving", "stays" }, begin));
    CHECK(registry.directory().size() == 3);
    CHECK(registry.directory().at("leaving").isLeaving);
    CHECK(registry.directory().count("born") == 1);

    // The newest writes its row again; nobody renews the row of the one that has left, so the store removes it.
    registry.apply(recordOf("born", 1));
    registry.removeAll({ "left", "leaving" }, begin + std::chrono::seconds(4));
    registry.expire(begin + settings.removalGracePeriod);
    CHECK(registry.directory().count("born") == 1);
    CHECK(registry.directory().count("restored") == 0);
    // A row that still stands later is renewed by an upstream that runs.
    CHECK(registry.expire(begin + settings.staleRowTtl));
    CHECK(registry.directory().count("restored") == 1);
    CHECK(registry.directory().count("left") == 0);
    CHECK(registry.directory().count("leaving") == 0);
    // A new start of an upstream that has left is another one.
    CHECK(registry.applyFromCopy(recordOf("left", 2), begin));
}

TEST_CASE("an upstream that an older copy lacks and that does not write its row again is removed after the grace period", "[book][rewind]")
{
    const upstream_registry_settings settings;
    upstream_registry registry(settings);
    for (const char* id : { "gone", "a", "b", "c" })
        registry.apply(recordOf(id, 1));
    CHECK_FALSE(registry.keepOnlyFromCopy({ "a", "b", "c" }, begin));
    CHECK(registry.directory().count("gone") == 1);
    CHECK(registry.expire(begin + settings.removalGracePeriod));
    CHECK(registry.directory().count("gone") == 0);
}

} // namespace almondmoor
