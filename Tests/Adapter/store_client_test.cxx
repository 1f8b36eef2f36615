// Tests the client of the metadata store against a stand-in store that injects faults.

#include "StandIns/stand_in_store.h"
#include "store_client.h"

#include <absl/strings/str_cat.h>
#include <array>
#include <catch2/catch.hpp>
#include <future>
#include <unistd.h>

namespace almondmoor::users_platform {

namespace {

    constexpr duration timeout = std::chrono::milliseconds(300);
    constexpr unsigned firstPort = 12'000;
    constexpr unsigned portCount = 2'000;

    // Returns an address whose port depends on the process, so that test processes can run at the same time.
    std::string address()
    {
        return absl::StrCat("127.0.0.1:", firstPort + static_cast<unsigned>(getpid()) % portCount);
    }

    struct store_fixture {
        stand_in_store store { address() };
        unsigned calls = 0;
        store_client client { store_client_settings { address(), timeout, [this] { ++calls; } } };
    };

} // namespace

TEST_CASE("a table is read page by page with its values and version", "[store]")
{
    store_fixture it;
    constexpr int rows = 1203;
    for (int index = 0; index < rows; ++index)
        it.store.write("servers", absl::StrCat("k", index), absl::StrCat("v", index));
    const auto reading = it.client.readTable("servers");
    REQUIRE(reading.result == store_result::Done);
    CHECK(reading.rows.size() == rows);
    CHECK(reading.position.version == rows);
    std::set<std::string> keys;
    for (const stored_row& row : reading.rows)
        keys.insert(row.key);
    CHECK(keys.size() == rows);
    CHECK(it.calls == 3);
    for (const stored_row& row : reading.rows)
        CHECK(row.value == absl::StrCat("v", row.key.substr(1)));
}

TEST_CASE("the client waits for changes and receives writes and removals", "[store]")
{
    store_fixture it;
    it.store.write("op", "config", "one");
    auto waiting = std::async(std::launch::async, [&it] { return it.client.readChanges("op", 1, std::chrono::seconds(5)); });
    REQUIRE(it.store.waitForCalls(1, std::chrono::seconds(5)));
    it.store.write("op", "config", "two");
    const auto changed = waiting.get();
    REQUIRE(changed.result == store_result::Done);
    REQUIRE(changed.rows.size() == 1);
    CHECK(changed.rows[0].value == "two");
    CHECK(changed.position.version == 2);
    it.store.remove("op", "config");
    const auto removed = it.client.readChanges("op", 2, std::chrono::seconds(5));
    REQUIRE(removed.rows.size() == 1);
    CHECK(removed.rows[0].isRemoved);
}

TEST_CASE("each failure of a call gives the matching result, and the next call succeeds", "[store]")
{
    struct row {
        const char* name;
        store_faults faults;
        store_result expected;
    };
    store_faults silent;
    silent.isSilent = true;
    store_faults resetsConnections;
    resetsConnections.resetsConnections = true;
    store_faults othersOnly;
    othersOnly.allowedCallers = { "10.9.9.9" };
    store_faults lateResponse;
    lateResponse.delay = timeout * 3;
    const std::array<row, 8> rows { {
        { "busy", { .refusalStatus = 503 }, store_result::Refused },
        { "too many calls", { .refusalStatus = 429 }, store_result::Refused },
        { "full", { .refusalStatus = 507 }, store_result::Refused },
        { "unexpected status", { .refusalStatus = 500 }, store_result::Unknown },
        { "silent", silent, store_result::Unknown },
        { "resets", resetsConnections, store_result::Unknown },
        { "serves other callers only", othersOnly, store_result::Unknown },
        { "late response", lateResponse, store_result::Unknown },
    } };
    for (const row& expected : rows) {
        INFO(expected.name);
        store_fixture it;
        it.store.write("op", "config", "one");
        REQUIRE(it.client.readTable("op").result == store_result::Done);
        it.store.setFaults(expected.faults);
        const auto failed = it.client.readTable("op");
        CHECK(failed.result == expected.expected);
        CHECK_FALSE(failed.error.ok());
        it.store.setFaults({});
        const auto again = it.client.readTable("op");
        REQUIRE(again.result == store_result::Done);
        CHECK(again.rows.size() == 1);
    }
}

TEST_CASE("reading changes reports that the history was discarded", "[store]")
{
    store_fixture it;
    it.store.write("op", "config", "one");
    it.store.compact();
    CHECK(it.client.readChanges("op", 1, std::chrono::milliseconds(10)).result == store_result::HistoryGone);
}

TEST_CASE("each reading tells the era of the store, and a version that an older copy lacks is reported as gone", "[store]")
{
    store_fixture it;
    it.store.write("op", "config", "one");
    it.store.takeCopy();
    it.store.write("op", "config", "two");
    const store_position known = it.client.readTable("op").position;
    CHECK(known == store_position { 1, 2 });
    it.store.comeBackFromCopy();
    CHECK(it.client.readChanges("op", known.version, std::chrono::milliseconds(10)).result == store_result::HistoryGone);
    const auto whole = it.client.readTable("op");
    CHECK(whole.position == store_position { 2, 1 });
    REQUIRE(whole.rows.size() == 1);
    CHECK(whole.rows[0].value == "one");
    it.store.write("op", "config", "three");
    CHECK(it.client.readChanges("op", known.version, std::chrono::milliseconds(10)).position == store_position { 2, 2 });
}

TEST_CASE("a write whose response is lost is reported as unknown although it took effect", "[store]")
{
    store_fixture it;
    it.store.setFaults({ .lostResponses = 1 });
    CHECK(it.client.writeRow("hosts", "h1", "value").result == store_result::Unknown);
    CHECK(it.store.value("hosts", "h1") == "value");
    CHECK(it.client.writeRow("hosts", "h2", "value").result == store_result::Done);
    // Hosts may not write the operators' and upstreams' tables.
    CHECK(it.client.writeRow("op", "config", "value").result != store_result::Done);
}

TEST_CASE("a store that refuses connections is reported as unreachable with its address", "[store]")
{
    store_client client({ "127.0.0.1:9", timeout, {} });
    const auto reading = client.readTable("op");
    CHECK(reading.result == store_result::Unreachable);
    CHECK(std::string(reading.error.message()).find("127.0.0.1:9") != std::string::npos);
}

} // namespace almondmoor::users_platform
