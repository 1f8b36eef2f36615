// Tests of table_follower against a scripted store that fails in each possible way, and of version_ledger.

#include "Platform/table_follower.h"
#include "Platform/version_ledger.h"

#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <memory>

namespace almondmoor {

namespace {

    // Returns responses from a script and records the calls.
    struct scripted_store {
        struct store_script {
            std::deque<store_response> responses;
            std::vector<std::string> calls;
            // Called while the follower waits for a response.
            std::function<void()> duringCall;

            store_response next(const std::string& call)
            {
                calls.push_back(call);
                if (duringCall)
                    duringCall();
                if (responses.empty())
                    return { store_result::Unreachable, {}, {}, absl::UnavailableError("the script has no further responses") };
                store_response response = responses.front();
                responses.pop_front();
                return response;
            }
        };

        store_response readTable(const std::string& table) { return script->next("table " + table); }
        store_response readChanges(const std::string& table, std::uint64_t after, duration) { return script->next("changes " + table + " " + std::to_string(after)); }
        store_response writeRow(const std::string&, const std::string&, const std::string&) { return script->next("write"); }

        std::shared_ptr<store_script> script = std::make_shared<store_script>();
    };

    store_response successfulResponse(std::uint64_t version, std::vector<stored_row> rows = {})
    {
        return { store_result::Done, std::move(rows), { 0, version }, absl::OkStatus() };
    }

    store_response failedResponse(store_result result)
    {
        return { result, {}, {}, absl::UnavailableError("scripted") };
    }

    constexpr duration maxWait = std::chrono::seconds(20);

    struct follower_fixture {
        scripted_store store;
        std::vector<table_update> updates;
        unsigned lostCount = 0;
        unsigned regainedCount = 0;
        table_follower<scripted_store> follower { store, follower_settings { .table = "t", .delayAfterChanges = std::chrono::milliseconds(5) },
            follower_events { [this](const table_update& update) { updates.push_back(update); }, [](const table_update&) {}, [this](store_result, const absl::Status&) { ++lostCount; }, [this] { ++regainedCount; } }, 1 };
    };

} // namespace

TEST_CASE("a follower reads the full table once and then only its changes", "[follower]")
{
    follower_fixture fixture;
    fixture.store.script->responses = { successfulResponse(7, { { "a", "1", 3, false } }), successfulResponse(9, { { "a", "", 9, true } }), successfulResponse(9) };
    CHECK(fixture.follower.step(maxWait).delay == std::chrono::milliseconds(5));
    CHECK(fixture.follower.step(maxWait).delay == std::chrono::milliseconds(5));
    CHECK(fixture.follower.step(maxWait).delay == duration::zero());
    CHECK(fixture.store.script->calls == std::vector<std::string> { "table t", "changes t 7", "changes t 9" });
    REQUIRE(fixture.updates.size() == 2);
    CHECK(fixture.updates[0].isFullTable);
    CHECK_FALSE(fixture.updates[1].isFullTable);
    CHECK(fixture.updates[1].rows[0].isRemoved);
}

TEST_CASE("a follower reads the full table at once if the store has discarded the history", "[follower]")
{
    follower_fixture fixture;
    fixture.store.script->responses = { successfulResponse(7), failedResponse(store_result::HistoryGone), successfulResponse(50) };
    (void)fixture.follower.step(maxWait);
    CHECK(fixture.follower.step(maxWait).succeeded);
    CHECK(fixture.store.script->calls == std::vector<std::string> { "table t", "changes t 7", "table t" });
    CHECK(fixture.follower.position().version == 50);
    REQUIRE(fixture.updates.size() == 2);
    CHECK(fixture.updates[1].isFullTable);
    CHECK(fixture.lostCount == 0);
}

TEST_CASE("a follower reports an outage once, retries with growing delays and marks the first update after it", "[follower]")
{
    for (const store_result result : { store_result::Refused, store_result::Unreachable, store_result::Unknown, store_result::BadResponse, store_result::Conflict }) {
        INFO(std::string(nameIn(storeResultNames, result)));
        follower_fixture fixture;
        fixture.store.script->responses = { successfulResponse(7), failedResponse(result), failedResponse(result), failedResponse(result), failedResponse(result), failedResponse(result), successfulResponse(7) };
        (void)fixture.follower.step(maxWait);
        const duration first = fixture.follower.step(maxWait).delay;
        duration last {};
        for (int index = 0; index < 4; ++index)
            last = fixture.follower.step(maxWait).delay;
        CHECK(first >= std::chrono::milliseconds(50));
        CHECK(first <= std::chrono::milliseconds(100));
        CHECK(last >= std::chrono::milliseconds(400));
        CHECK(last <= std::chrono::milliseconds(800));
        (void)fixture.follower.step(maxWait);
        CHECK(fixture.lostCount == 1);
        CHECK(fixture.regainedCount == 1);
        // The update after an outage is reported even if it holds no changes.
        REQUIRE(fixture.updates.size() == 2);
        CHECK(fixture.updates[1].isFirstAfterOutage);
        CHECK(fixture.store.script->calls.back() == "changes t 7");
    }
}

TEST_CASE("a follower applies changes from a neighbour if no changes before them are missing", "[follower]")
{
    struct row {
        const char* name;
        std::uint64_t after;
        std::uint64_t version;
        bool isApplied;
    };
    const std::array<row, 5> rows { {
        { "the next changes", 7, 9, true },
        { "some changes known, some new", 5, 9, true },
        { "a gap before the changes", 8, 9, false },
        { "all changes known already", 5, 7, false },
        { "older", 3, 5, false },
    } };
    for (const row& expected : rows) {
        INFO(expected.name);
        follower_fixture fixture;
        fixture.store.script->responses = { successfulResponse(7, { { "a", "1", 3, false } }) };
        (void)fixture.follower.step(maxWait);
        const table_update update { false, false, { { "a", "2", expected.version, false } }, { 0, expected.after }, { 0, expected.version } };
        CHECK(fixture.follower.applyNeighbourUpdate(update) == expected.isApplied);
        CHECK(fixture.follower.isBehind({ 0, expected.version }) == (expected.version > fixture.follower.position().version));
        CHECK(fixture.updates.size() == (expected.isApplied ? 2 : 1));
    }
}

TEST_CASE("a follower applies no changes from a neighbour before it has read the full table", "[follower]")
{
    follower_fixture fixture;
    CHECK_FALSE(fixture.follower.applyNeighbourUpdate({ false, false, { { "a", "1", 3, false } }, { 0, 0 }, { 0, 3 } }));
    CHECK(fixture.follower.isBehind({ 0, 0 }));
    CHECK(fixture.updates.empty());
}

// Guards against a host that can't reach the store and stays behind for good: a neighbour that read the table at a later
// version relays changes that don't continue from the version known here.
TEST_CASE("pattern: a host that missed changes catches up from a neighbour's full table", "[follower]")
{
    follower_fixture reader;
    reader.store.script->responses = { successfulResponse(9, { { "a", "1", 3, false }, { "b", "1", 4, false } }), successfulResponse(12, { { "a", "", 12, true }, { "c", "1", 11, false } }) };
    (void)reader.follower.step(maxWait);
    (void)reader.follower.step(maxWait);
    struct row {
        const char* name;
        std::deque<store_response> responses;
    };
    const std::array<row, 2> rows { {
        { "an older full table is known", { successfulResponse(5, { { "a", "1", 3, false }, { "b", "1", 4, false } }) } },
        { "nothing is known", {} },
    } };
    for (const row& it : rows) {
        INFO(it.name);
        follower_fixture fixture;
        fixture.store.script->responses = it.responses;
        (void)fixture.follower.step(maxWait);
        CHECK_FALSE(fixture.follower.applyNeighbourUpdate({ false, false, { { "c", "1", 11, false } }, { 0, 9 }, { 0, 12 } }));
        REQUIRE(reader.follower.fullTable());
        CHECK(fixture.follower.applyNeighbourUpdate(*reader.follower.fullTable()));
        CHECK_FALSE(fixture.follower.isBehind({ 0, 12 }));
        REQUIRE(fixture.follower.fullTable());
        const auto known = fixture.follower.fullTable()->rows;
        REQUIRE(known.size() == 2);
        CHECK(known[0].key == "b");
        CHECK(known[1].key == "c");
        CHECK_FALSE(fixture.follower.applyNeighbourUpdate(*reader.follower.fullTable()));
    }
    CHECK_FALSE(follower_fixture().follower.fullTable());
}

TEST_CASE("a follower gives its table only if that changed after the version that is known", "[follower]")
{
    follower_fixture fixture;
    fixture.store.script->responses = { successfulResponse(7, { { "a", "1", 3, false } }), successfulResponse(9, { { "a", "2", 9, false } }), successfulResponse(12) };
    CHECK_FALSE(fixture.follower.fullTable({}));
    for (int read = 0; read < 3; ++read)
        (void)fixture.follower.step(maxWait);
    CHECK(fixture.follower.position().version == 12);
    CHECK(fixture.follower.fullTable({}));
    CHECK(fixture.follower.fullTable({ 0, 8 }));
    CHECK_FALSE(fixture.follower.fullTable({ 0, 9 }));
    CHECK_FALSE(fixture.follower.fullTable({ 0, 12 }));
}

TEST_CASE("a follower drops a response of the store that is older than a neighbour's update", "[follower]")
{
    follower_fixture fixture;
    fixture.store.script->responses = { successfulResponse(7), successfulResponse(8, { { "a", "old", 8, false } }) };
    (void)fixture.follower.step(maxWait);
    fixture.store.script->duringCall = [&fixture] { CHECK(fixture.follower.applyNeighbourUpdate({ false, false, { { "a", "new", 9, false } }, { 0, 7 }, { 0, 9 } })); };
    const follower_step step = fixture.follower.step(maxWait);
    CHECK(step.succeeded);
    CHECK_FALSE(step.hasUpdates);
    CHECK(fixture.follower.position().version == 9);
    CHECK(fixture.updates.back().rows[0].value == "new");
}

TEST_CASE("a version ledger determines whether the recorded rows cover all changes of the store", "[follower]")
{
    struct row {
        const char* name;
        std::vector<std::uint64_t> versions;
        std::uint64_t upTo;
        bool isComplete;
    };
    const std::vector<row> rows {
        { "nothing changed", {}, 10, true },
        { "an older version", {}, 9, true },
        { "each version was recorded", { 12, 11, 13 }, 13, true },
        { "the same version twice", { 11, 11 }, 12, false },
        { "one version is missing", { 11, 13 }, 13, false },
        { "a later version does not count", { 11, 14 }, 12, false },
        { "a later version changes nothing", { 11, 14 }, 11, true },
    };
    for (const row& expected : rows) {
        INFO(expected.name);
        version_ledger ledger;
        ledger.markCompleteUpTo({ 0, 10 });
        ledger.recordVersions(0, expected.versions);
        CHECK(ledger.isCompleteUpTo({ 0, expected.upTo }) == expected.isComplete);
        ledger.markCompleteUpTo({ 0, expected.upTo });
        CHECK(ledger.isCompleteUpTo({ 0, expected.upTo }));
    }
}

TEST_CASE("a follower reads the table whole when the store has come back from an older copy, and never goes back to an earlier era", "[follower]")
{
    const auto ofEra = [](std::uint64_t era, store_response response) {
        response.position.era = era;
        return response;
    };
    struct row {
        const char* name;
        std::vector<store_response> afterwards;
    };
    const std::vector<row> rows {
        { "the store does not have the version", { failedResponse(store_result::HistoryGone), ofEra(2, successfulResponse(8, { { "a", "copy", 3, false } })) } },
        { "the version was given out again", { ofEra(2, successfulResponse(70, { { "b", "new", 70, false } })), ofEra(2, successfulResponse(70, { { "a", "copy", 3, false }, { "b", "new", 70, false } })) } },
    };
    for (const row& it : rows) {
        INFO(it.name);
        follower_fixture fixture;
        fixture.store.script->responses = { ofEra(1, successfulResponse(60, { { "a", "lost", 55, false } })) };
        (void)fixture.follower.step(maxWait);
        CHECK_FALSE(fixture.updates.back().isRewound);
        const table_update ofFirstEra = *fixture.follower.fullTable();
        fixture.store.script->responses.assign(it.afterwards.begin(), it.afterwards.end());
        CHECK(fixture.follower.step(maxWait).succeeded);
        CHECK(fixture.updates.back().isFullTable);
        CHECK(fixture.updates.back().isRewound);
        CHECK(fixture.updates.back().rows[0].value == "copy");
        const store_position known = fixture.follower.position();
        CHECK(known.era == 2);
        // What a neighbour read before the return, and a late response, change nothing.
        CHECK_FALSE(fixture.follower.applyNeighbourUpdate(ofFirstEra));
        CHECK_FALSE(fixture.follower.applyNeighbourUpdate({ false, false, { { "a", "lost", 90, false } }, { 1, 8 }, { 1, 90 } }));
        CHECK_FALSE(fixture.follower.isBehind({ 1, 99 }));
        CHECK(fixture.follower.fullTable({ 1, 99 }));
        fixture.store.script->responses = { ofEra(1, successfulResponse(99, { { "a", "lost", 99, false } })) };
        CHECK_FALSE(fixture.follower.step(maxWait).succeeded);
        CHECK(fixture.follower.position() == known);
        // A neighbour of the version before tells no era; a store without eras goes on with the known one.
        CHECK(fixture.follower.applyNeighbourUpdate({ false, false, { { "c", "1", 98, false } }, { 0, known.version }, { 0, 98 } }));
        fixture.store.script->responses = { successfulResponse(99) };
        CHECK(fixture.follower.step(maxWait).succeeded);
        CHECK(fixture.follower.position() == store_position { 2, 99 });
    }
}

TEST_CASE("a whole table of a later era replaces one of an earlier era whatever its version, and changes of it do not", "[follower]")
{
    follower_fixture fixture;
    fixture.store.script->responses = { successfulResponse(60, { { "a", "lost", 55, false } }) };
    (void)fixture.follower.step(maxWait);
    CHECK(fixture.follower.isBehind({ 2, 8 }));
    CHECK_FALSE(fixture.follower.applyNeighbourUpdate({ false, false, { { "a", "new", 9, false } }, { 2, 8 }, { 2, 9 } }));
    CHECK(fixture.follower.applyNeighbourUpdate({ true, false, { { "a", "copy", 3, false } }, {}, { 2, 8 } }));
    CHECK(fixture.updates.back().isRewound);
    CHECK_FALSE(fixture.follower.isBehind({ 2, 8 }));
    CHECK(fixture.follower.applyNeighbourUpdate({ false, false, { { "a", "new", 9, false } }, { 2, 8 }, { 2, 9 } }));
}

TEST_CASE("a version ledger keeps the eras of the store apart", "[follower]")
{
    version_ledger ledger;
    ledger.markCompleteUpTo({ 1, 60 });
    CHECK_FALSE(ledger.isCompleteUpTo({ 2, 8 }));
    ledger.recordVersions(1, { 61 });
    ledger.recordVersions(2, { 9 });
    CHECK_FALSE(ledger.isCompleteUpTo({ 2, 9 }));
    ledger.markCompleteUpTo({ 2, 8 });
    ledger.recordVersions(2, { 9 });
    CHECK(ledger.isCompleteUpTo({ 2, 9 }));
    ledger.markCompleteUpTo({ 1, 99 });
    CHECK_FALSE(ledger.isCompleteUpTo({ 2, 10 }));
}

} // namespace almondmoor
