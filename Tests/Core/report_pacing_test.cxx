// Tests of report_pacing: how soon and how often a host reports to its neighbours.

#include "Core/report_pacing.h"

#include <catch2/catch.hpp>
#include <vector>

namespace almondmoor {

namespace {

    using namespace std::chrono_literals;

    constexpr instant begin { std::chrono::hours(1) };

    // Returns the number of reports that a host sends in ten seconds. Each millisecond
    // brings an update of the given urgency, if hasUpdates is set, and a check whether
    // a report is due.
    unsigned countReports(update_urgency urgency, bool hasUpdates, unsigned neighbours)
    {
        report_pacing pacing;
        pacing.setNeighbours(neighbours);
        unsigned count = 0;
        for (instant now = begin; now < begin + 10s; now += 1ms) {
            const bool isDue = hasUpdates && pacing.recordUpdate(urgency, now);
            if (!isDue && now < pacing.dueAt())
                continue;
            pacing.recordSent(now);
            ++count;
        }
        return count;
    }

} // namespace

TEST_CASE("pattern: a busy host sends its reports at the interval of their urgency", "[pacing]")
{
    struct row {
        const char* name;
        update_urgency urgency;
        bool hasUpdates;
        duration interval;
    };
    const pacing_settings settings;
    const std::vector<row> rows {
        { "an idle host", update_urgency::Low, false, settings.heartbeatInterval },
        { "requests start and end", update_urgency::Low, true, settings.lowInterval },
        { "an allowance runs low", update_urgency::Raised, true, settings.raisedInterval },
    };
    for (const row& it : rows) {
        INFO(it.name);
        const auto expected = static_cast<unsigned>(duration(10s) / it.interval);
        CHECK(countReports(it.urgency, it.hasUpdates, 7) >= expected);
        CHECK(countReports(it.urgency, it.hasUpdates, 7) <= expected + 1);
    }
}

TEST_CASE("pattern: when everything fails, the rate of urgent reports to a host does not grow with the number of its neighbours", "[pacing]")
{
    const pacing_settings settings;
    for (const unsigned neighbours : { 1U, 7U, 17U, 124U }) {
        INFO(neighbours << " neighbours");
        const double maxUrgent = 10 * settings.maxHighReportsPerSecond + neighbours * settings.maxHighBurst;
        const double maxOthers = neighbours * (toSeconds(10s) / toSeconds(settings.lowInterval) + 1);
        CHECK(neighbours * countReports(update_urgency::High, true, neighbours) <= maxUrgent + maxOthers);
    }
}

TEST_CASE("a few failures in a row are reported immediately", "[pacing]")
{
    report_pacing pacing;
    pacing.setNeighbours(17);
    pacing.recordSent(begin);
    instant now = begin + 2s;
    for (unsigned index = 0; index < 5; ++index) {
        CHECK(pacing.recordUpdate(update_urgency::High, now));
        pacing.recordSent(now);
        now += 10ms;
    }
}

TEST_CASE("an urgent update after an interval without reports is sent immediately", "[pacing]")
{
    report_pacing pacing;
    pacing.recordSent(begin);
    CHECK_FALSE(pacing.recordUpdate(update_urgency::Low, begin + 10ms));
    CHECK(pacing.recordUpdate(update_urgency::High, begin + 20ms));
}

TEST_CASE("a delayed update keeps its urgency until it is sent", "[pacing]")
{
    report_pacing pacing;
    pacing.recordSent(begin - 1s);
    pacing.recordSent(begin);
    CHECK_FALSE(pacing.recordUpdate(update_urgency::High, begin + 1ms));
    CHECK_FALSE(pacing.recordUpdate(update_urgency::Low, begin + 2ms));
    CHECK(pacing.dueAt() == begin + pacing_settings {}.highInterval);
    pacing.recordSent(begin + 4ms);
    CHECK(pacing.dueAt() == begin + 4ms + pacing_settings {}.heartbeatInterval);
}

} // namespace almondmoor
