// A follower against a store that fails in each way.

#include "Platform/table_follower.h"

#include <catch2/catch.hpp>
#include <deque>
#include <memory>

namespace almondmoor {

namespace {

    // Answers calls from a script and writes down what was asked.
    struct scripted_store {
        struct script {
            std::deque<store_reading> answers;
            std::vector<std::string> calls;

            store_reading next(const std::string& call)
            {
                calls.push_back(call);
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

    struct watched {
        scripted_store store;
        std::vector<table_update> updates;
        unsigned lost = 0;
        unsigned regained = 0;
        table_follower<scripted_store> follower { store, follower_settings { .table = "t", .pause = std::chrono::milliseconds(5) },
            follower_events { [this](const table_update& it) { updates.push_back(it); }, [this](store_end, const absl::Status&) { ++lost; }, [this] { ++regained; } }, 1 };
    };

} // namespace

TEST_CASE("a table is read whole once and then by its changes", "[follower]")
{
    watched it;
    it.store.it->answers = { done(7, { { "a", "1", 3, false } }), done(9, { { "a", "", 9, true } }), done(9) };
    CHECK(it.follower.step() == std::chrono::milliseconds(5));
    CHECK(it.follower.step() == std::chrono::milliseconds(5));
    CHECK(it.follower.step() == duration::zero());
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
    it.follower.step();
    CHECK(it.follower.step() == duration::zero());
    it.follower.step();
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
        it.follower.step();
        const duration first = it.follower.step();
        duration last {};
        for (int index = 0; index < 4; ++index)
            last = it.follower.step();
        CHECK(first >= std::chrono::milliseconds(50));
        CHECK(first <= std::chrono::milliseconds(100));
        CHECK(last >= std::chrono::milliseconds(400));
        CHECK(last <= std::chrono::milliseconds(800));
        it.follower.step();
        CHECK(it.lost == 1);
        CHECK(it.regained == 1);
        // Even without changes the owner learns that the store was away.
        REQUIRE(it.updates.size() == 2);
        CHECK(it.updates[1].wasAway);
        CHECK(it.store.it->calls.back() == "changes t 7");
    }
}

} // namespace almondmoor
