// The client of the users' platform's store against a stand-in and its faults.

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
    constexpr unsigned ports = 2'000;

    std::string address()
    {
        return absl::StrCat("127.0.0.1:", firstPort + static_cast<unsigned>(getpid()) % ports);
    }

    struct scene {
        stand_in_store store { address() };
        unsigned calls = 0;
        store_client client { client_settings { address(), timeout, [this] { ++calls; } } };
    };

} // namespace

TEST_CASE("a table is read page by page, with values and versions", "[store]")
{
    scene it;
    constexpr int rows = 1203;
    for (int index = 0; index < rows; ++index)
        it.store.write("servers", absl::StrCat("k", index), absl::StrCat("v", index));
    const auto reading = it.client.readTable("servers");
    REQUIRE(reading.result == store_result::Done);
    CHECK(reading.rows.size() == rows);
    CHECK(reading.version == rows);
    std::set<std::string> keys;
    for (const stored_row& row : reading.rows)
        keys.insert(row.key);
    CHECK(keys.size() == rows);
    CHECK(it.calls == 3);
    for (const stored_row& row : reading.rows)
        CHECK(row.value == absl::StrCat("v", row.key.substr(1)));
}

TEST_CASE("changes are waited for and come in order, removals too", "[store]")
{
    scene it;
    it.store.write("op", "config", "one");
    auto waiting = std::async(std::launch::async, [&it] { return it.client.readChanges("op", 1, std::chrono::seconds(5)); });
    REQUIRE(it.store.waitForCalls(1, std::chrono::seconds(5)));
    it.store.write("op", "config", "two");
    const auto changed = waiting.get();
    REQUIRE(changed.result == store_result::Done);
    REQUIRE(changed.rows.size() == 1);
    CHECK(changed.rows[0].value == "two");
    CHECK(changed.version == 2);
    it.store.remove("op", "config");
    const auto removed = it.client.readChanges("op", 2, std::chrono::seconds(5));
    REQUIRE(removed.rows.size() == 1);
    CHECK(removed.rows[0].isRemoved);
}

TEST_CASE("each failure of the store has its own end", "[store]")
{
    struct row {
        const char* name;
        store_faults faults;
        store_result expected;
    };
    store_faults silent;
    silent.isSilent = true;
    store_faults resets;
    resets.resets = true;
    store_faults elsewhere;
    elsewhere.served = { "10.9.9.9" };
    store_faults late;
    late.delay = timeout * 3;
    const std::array<row, 8> rows { {
        { "busy", { .refusal = 503 }, store_result::Refused },
        { "too many calls", { .refusal = 429 }, store_result::Refused },
        { "full", { .refusal = 507 }, store_result::Refused },
        { "strange status", { .refusal = 500 }, store_result::Unknown },
        { "silent", silent, store_result::Unknown },
        { "resets", resets, store_result::Unknown },
        { "serves others only", elsewhere, store_result::Unknown },
        { "too late", late, store_result::Unknown },
    } };
    for (const row& expected : rows) {
        INFO(expected.name);
        scene it;
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

TEST_CASE("a feed whose history was dropped says so", "[store]")
{
    scene it;
    it.store.write("op", "config", "one");
    it.store.compact();
    CHECK(it.client.readChanges("op", 1, std::chrono::milliseconds(10)).result == store_result::HistoryGone);
}

TEST_CASE("a write whose answer is lost may have been done", "[store]")
{
    scene it;
    it.store.setFaults({ .lostAnswers = 1 });
    CHECK(it.client.writeRow("hosts", "h1", "value").result == store_result::Unknown);
    CHECK(it.store.value("hosts", "h1") == "value");
    CHECK(it.client.writeRow("hosts", "h2", "value").result == store_result::Done);
    // The operators' and upstreams' tables are not ours to write.
    CHECK(it.client.writeRow("op", "config", "value").result != store_result::Done);
}

TEST_CASE("no store at the address is told apart", "[store]")
{
    store_client client({ "127.0.0.1:9", timeout, {} });
    const auto reading = client.readTable("op");
    CHECK(reading.result == store_result::Unreachable);
    CHECK(std::string(reading.error.message()).find("127.0.0.1:9") != std::string::npos);
}

} // namespace almondmoor::users_platform
