// Tests of table_request_schedule: whom a host asks for tables that neither the store nor a reader provides.

#include "Core/table_request_schedule.h"

#include <catch2/catch.hpp>
#include <optional>
#include <vector>

namespace almondmoor {

namespace {

    using namespace std::chrono_literals;

    constexpr instant begin { std::chrono::hours(1) };
    constexpr duration tick = 250ms;
    // What the hosts of a data centre may send together, whatever their number.
    constexpr unsigned maxRequestsPerSecond = 16;

} // namespace

TEST_CASE("a host asks others for tables only while neither the store nor a reader provides them", "[tables]")
{
    struct row {
        const char* name;
        bool lacksTable;
        // Age of the latest confirmation, or nullopt if there was none.
        std::optional<duration> confirmationAge;
        duration sinceStart;
        table_source expected;
    };
    const std::vector<row> rows {
        { "it has just started, and the store may still respond", true, std::nullopt, 250ms, table_source::None },
        { "the store did not respond to its first reads", true, std::nullopt, 300ms, table_source::Neighbour },
        { "it lacks a table although a neighbour reads", true, 100ms, 10s, table_source::Neighbour },
        { "it has read all tables, and no reader is chosen yet", false, std::nullopt, 1400ms, table_source::None },
        { "no reader was found", false, std::nullopt, 1500ms, table_source::OtherDataCentre },
        { "the reader's confirmation is fresh", false, 1400ms, 10s, table_source::None },
        { "the store responds to nobody here", false, 1500ms, 10s, table_source::OtherDataCentre },
    };
    for (const row& it : rows) {
        INFO(it.name);
        const instant now = begin + it.sinceStart;
        table_request_schedule schedule({}, begin, 1);
        const instant confirmedAt = it.confirmationAge ? now - *it.confirmationAge : distantPast;
        // The only host of its data centre does not wait for others to ask.
        CHECK(schedule.next({ it.lacksTable, confirmedAt, 1 }, now) == it.expected);
    }
}

TEST_CASE("a host without tables asks neighbours and other data centres in turn", "[tables]")
{
    table_request_schedule schedule({}, begin, 1);
    std::vector<table_source> asked;
    for (instant now = begin; now < begin + 5s; now += tick) {
        const table_source source = schedule.next({ true, distantPast, 1 }, now);
        if (source != table_source::None)
            asked.push_back(source);
    }
    REQUIRE(asked.size() >= 4);
    for (std::size_t index = 0; index < asked.size(); ++index)
        CHECK(asked[index] == (index % 2 ? table_source::OtherDataCentre : table_source::Neighbour));
}

// Guards against bytes between data centres that grow with the hosts while the store responds to nobody.
TEST_CASE("pattern: the hosts of a data centre that the store does not answer together ask at a bounded rate", "[tables]")
{
    constexpr duration outage = 20s;
    for (const unsigned hosts : { 1U, 8U, 50U, 125U }) {
        INFO(hosts << " hosts");
        std::vector<table_request_schedule> schedules;
        for (unsigned host = 0; host < hosts; ++host)
            schedules.emplace_back(table_request_settings {}, begin, host + 1);
        unsigned requests = 0;
        for (instant now = begin + 2s; now < begin + 2s + outage; now += tick) {
            for (table_request_schedule& it : schedules)
                requests += it.next({ false, begin, hosts }, now) == table_source::None ? 0 : 1;
        }
        CHECK(requests <= maxRequestsPerSecond * (outage / 1s));
        CHECK(requests >= outage / 1s);
    }
}

TEST_CASE("pattern: of many hosts that the store does not answer, one asks soon and the others wait a while", "[tables]")
{
    for (const unsigned hosts : { 8U, 50U, 125U }) {
        INFO(hosts << " hosts");
        unsigned firstRequests = 0;
        for (unsigned host = 0; host < hosts; ++host) {
            table_request_schedule schedule({}, begin, host + 1);
            for (instant now = begin + 1500ms; now <= begin + 2s; now += tick)
                firstRequests += schedule.next({ false, begin, hosts }, now) == table_source::None ? 0 : 1;
        }
        CHECK(firstRequests >= 1);
        CHECK(firstRequests <= maxRequestsPerSecond / 2);
    }
}

} // namespace almondmoor
