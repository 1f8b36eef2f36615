// A follower against a store that fails in each way.

#include "Platform/table_follower.h"
#include "Platform/version_ledger.h"

#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <memory>

namespace almondmoor {

namespace {

    // Answers calls from a script and writes down what was asked.
    struct scripted_store {
        struct script {
            std::deque<store_reading> answers;
            std::vector<std::string> calls;
            // Called while the follower waits for an answer.
            std::function<void()> whileCalled;

            store_reading next(const std::string& call)
            {
                calls.push_back(call);
                if (whileCalled)
                    whileCalled();
                if (answers.empty())
                    return { store_end::Unreachable, {}, 0, absl::UnavailableError("the script is over") };
                store_reading it = answers.front();
                answers.pop_front();
                return it;
            }
        };

        store_reading readTable(const std::string& table) { return it->next("table " + table); }
        store_reading readChanges(const std::string& table, std::uint64_t after, duration) { return it->next("changes " + table + " " + std::to_string(after)); }
        store_reading writeRow(const std::string&, const std::string&, const std::string&) { return it->next("write"); }

        std::shared_ptr<script> it = std::make_shared<script>();
    };

    store_reading done(std::uint64_t version, std::vector<stored_row> rows = {})
    {
        return { store_end::Done, std::move(rows), version, absl::OkStatus() };
    }

    store_reading failed(store_end end)
    {
        return { end, {}, 0, absl::UnavailableError("scripted") };
    }

    constexpr duration wait = std::chrono::seconds(20);

    struct watched {
        scripted_store store;
        std::vector<table_update> updates;
        unsigned lost = 0;
        unsigned regained = 0;
        table_follower<scripted_store> follower { store, follower_settings { .table = "t", .pause = std::chrono::milliseconds(5) },
            follower_events { [this](const table_update& it) { updates.push_back(it); }, [](const table_update&) {}, [this](store_end, const absl::Status&) { ++lost; }, [this] { ++regained; } }, 1 };
    };

} // namespace

TEST_CASE("a table is read whole once and then by its changes", "[follower]")
{
    watched it;
    it.store.it->answers = { done(7, { { "a", "1", 3, false } }), done(9, { { "a", "", 9, true } }), done(9) };
    CHECK(it.follower.step(wait).pause == std::chrono::milliseconds(5));
    CHECK(it.follower.step(wait).pause == std::chrono::milliseconds(5));
    CHECK(it.follower.step(wait).pause == duration::zero());
    CHECK(it.store.it->calls == std::vector<std::string> { "table t", "changes t 7", "changes t 9" });
    REQUIRE(it.updates.size() == 2);
    CHECK(it.updates[0].isWhole);
    CHECK_FALSE(it.updates[1].isWhole);
    CHECK(it.updates[1].rows[0].isRemoved);
}

TEST_CASE("a table whose history is gone is read whole again", "[follower]")
{
    watched it;
    it.store.it->answers = { done(7), failed(store_end::HistoryGone), done(50) };
    (void)it.follower.step(wait);
    CHECK(it.follower.step(wait).pause == duration::zero());
    (void)it.follower.step(wait);
    CHECK(it.store.it->calls.back() == "table t");
    REQUIRE(it.updates.size() == 2);
    CHECK(it.updates[1].isWhole);
    CHECK(it.lost == 0);
}

TEST_CASE("failures are told once, retried with growing pauses, and the return is marked", "[follower]")
{
    for (const store_end end : { store_end::Refused, store_end::Unreachable, store_end::Unknown, store_end::BadAnswer, store_end::Conflict }) {
        INFO(std::string(nameIn(storeEndNames, end)));
        watched it;
        it.store.it->answers = { done(7), failed(end), failed(end), failed(end), failed(end), failed(end), done(7) };
        (void)it.follower.step(wait);
        const duration first = it.follower.step(wait).pause;
        duration last {};
        for (int index = 0; index < 4; ++index)
            last = it.follower.step(wait).pause;
        CHECK(first >= std::chrono::milliseconds(50));
        CHECK(first <= std::chrono::milliseconds(100));
        CHECK(last >= std::chrono::milliseconds(400));
        CHECK(last <= std::chrono::milliseconds(800));
        (void)it.follower.step(wait);
        CHECK(it.lost == 1);
        CHECK(it.regained == 1);
        // Even without changes the owner learns that the store was away.
        REQUIRE(it.updates.size() == 2);
        CHECK(it.updates[1].wasAway);
        CHECK(it.store.it->calls.back() == "changes t 7");
    }
}

TEST_CASE("changes that a neighbour read are taken in if they follow what is known", "[follower]")
{
    struct row {
        const char* name;
        std::uint64_t after;
        std::uint64_t version;
        bool isTaken;
    };
    const std::array<row, 5> rows { {
        { "the next ones", 7, 9, true },
        { "some known, some new", 5, 9, true },
        { "a gap before them", 8, 9, false },
        { "known already", 5, 7, false },
        { "older", 3, 5, false },
    } };
    for (const row& expected : rows) {
        INFO(expected.name);
        watched it;
        it.store.it->answers = { done(7, { { "a", "1", 3, false } }) };
        (void)it.follower.step(wait);
        const table_update update { false, false, { { "a", "2", expected.version, false } }, expected.after, expected.version };
        CHECK(it.follower.take(update) == expected.isTaken);
        CHECK(it.follower.isBehind(expected.version) == (expected.version > it.follower.version()));
        CHECK(it.updates.size() == (expected.isTaken ? 2 : 1));
    }
}

TEST_CASE("no neighbour's change is taken in before the table was read whole", "[follower]")
{
    watched it;
    CHECK_FALSE(it.follower.take({ false, false, { { "a", "1", 3, false } }, 0, 3 }));
    CHECK(it.follower.isBehind(0));
    CHECK(it.updates.empty());
}

TEST_CASE("an answer of the store that a neighbour's reading overtook is dropped", "[follower]")
{
    watched it;
    it.store.it->answers = { done(7), done(8, { { "a", "old", 8, false } }) };
    (void)it.follower.step(wait);
    it.store.it->whileCalled = [&it] { CHECK(it.follower.take({ false, false, { { "a", "new", 9, false } }, 7, 9 })); };
    const follower_step step = it.follower.step(wait);
    CHECK(step.isDone);
    CHECK_FALSE(step.hasNews);
    CHECK(it.follower.version() == 9);
    CHECK(it.updates.back().rows[0].value == "new");
}

TEST_CASE("a ledger knows whether rows account for all changes of the store", "[follower]")
{
    struct row {
        const char* name;
        std::vector<std::uint64_t> versions;
        std::uint64_t upTo;
        bool isKnown;
    };
    const std::vector<row> rows {
        { "nothing changed", {}, 10, true },
        { "an older version", {}, 9, true },
        { "each version is a row", { 12, 11, 13 }, 13, true },
        { "a row twice", { 11, 11 }, 12, false },
        { "one version is missing", { 11, 13 }, 13, false },
        { "later rows do not count", { 11, 14 }, 12, false },
        { "later rows do no harm", { 11, 14 }, 11, true },
    };
    for (const row& it : rows) {
        INFO(it.name);
        version_ledger ledger;
        ledger.settle(10);
        ledger.note(it.versions);
        CHECK(ledger.accountsFor(it.upTo) == it.isKnown);
        ledger.settle(it.upTo);
        CHECK(ledger.accountsFor(it.upTo));
    }
}

} // namespace almondmoor
