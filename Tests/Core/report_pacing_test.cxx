// How soon and how often a host reports to its neighbours.

#include "Core/report_pacing.h"

#include <catch2/catch.hpp>
#include <vector>

namespace almondmoor {

namespace {

    using namespace std::chrono_literals;

    constexpr instant begin { std::chrono::hours(1) };

    // Returns how many reports go out in ten seconds, with news of one urgency each
    // millisecond and a look at what is due as often.
    unsigned reportsWith(news_urgency urgency, bool hasNews, unsigned neighbours)
    {
        report_pacing pacing;
        pacing.setNeighbours(neighbours);
        unsigned count = 0;
        for (instant now = begin; now < begin + 10s; now += 1ms) {
            const bool isDue = hasNews && pacing.noteNews(urgency, now);
            if (!isDue && now < pacing.dueAt())
                continue;
            pacing.noteSent(now);
            ++count;
        }
        return count;
    }

} // namespace

TEST_CASE("pattern: news of a busy host go out by their urgency", "[pacing]")
{
    struct row {
        const char* name;
        news_urgency urgency;
        bool hasNews;
        duration interval;
    };
    const pacing_settings settings;
    const std::vector<row> rows {
        { "an idle host", news_urgency::Low, false, settings.heartbeatInterval },
        { "requests come and go", news_urgency::Low, true, settings.lowInterval },
        { "an allowance runs short", news_urgency::Raised, true, settings.raisedInterval },
    };
    for (const row& it : rows) {
        INFO(it.name);
        const auto expected = static_cast<unsigned>(duration(10s) / it.interval);
        CHECK(reportsWith(it.urgency, it.hasNews, 7) >= expected);
        CHECK(reportsWith(it.urgency, it.hasNews, 7) <= expected + 1);
    }
}

TEST_CASE("pattern: when everything fails, what a host takes in does not grow with its neighbours", "[pacing]")
{
    const pacing_settings settings;
    for (const unsigned neighbours : { 1U, 7U, 17U, 124U }) {
        INFO(neighbours << " neighbours");
        const double urgent = 10 * settings.highTakenPerSecond + neighbours * settings.longestSeries;
        const double others = neighbours * (toSeconds(10s) / toSeconds(settings.lowInterval) + 1);
        CHECK(neighbours * reportsWith(news_urgency::High, true, neighbours) <= urgent + others);
    }
}

TEST_CASE("a few failures in series are told at once", "[pacing]")
{
    report_pacing pacing;
    pacing.setNeighbours(17);
    pacing.noteSent(begin);
    instant now = begin + 2s;
    for (unsigned index = 0; index < 5; ++index) {
        CHECK(pacing.noteNews(news_urgency::High, now));
        pacing.noteSent(now);
        now += 10ms;
    }
}

TEST_CASE("urgent news after a pause goes out at once", "[pacing]")
{
    report_pacing pacing;
    pacing.noteSent(begin);
    CHECK_FALSE(pacing.noteNews(news_urgency::Low, begin + 10ms));
    CHECK(pacing.noteNews(news_urgency::High, begin + 20ms));
}

TEST_CASE("news that was held back keeps its urgency until it is told", "[pacing]")
{
    report_pacing pacing;
    pacing.noteSent(begin - 1s);
    pacing.noteSent(begin);
    CHECK_FALSE(pacing.noteNews(news_urgency::High, begin + 1ms));
    CHECK_FALSE(pacing.noteNews(news_urgency::Low, begin + 2ms));
    CHECK(pacing.dueAt() == begin + pacing_settings {}.highInterval);
    pacing.noteSent(begin + 4ms);
    CHECK(pacing.dueAt() == begin + 4ms + pacing_settings {}.heartbeatInterval);
}

} // namespace almondmoor
