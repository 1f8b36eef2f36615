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
    unsigned reportsWith(news_urgency urgency, bool hasNews)
    {
        report_pacing pacing;
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

TEST_CASE("pattern: news of a busy host go out by their urgency, and bounded", "[pacing]")
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
        { "upstreams fail", news_urgency::High, true, settings.highInterval },
    };
    for (const row& it : rows) {
        INFO(it.name);
        const auto expected = static_cast<unsigned>(duration(10s) / it.interval);
        CHECK(reportsWith(it.urgency, it.hasNews) >= expected);
        CHECK(reportsWith(it.urgency, it.hasNews) <= expected + 1);
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
    pacing.noteSent(begin);
    CHECK_FALSE(pacing.noteNews(news_urgency::High, begin + 1ms));
    CHECK_FALSE(pacing.noteNews(news_urgency::Low, begin + 2ms));
    CHECK(pacing.dueAt() == begin + pacing_settings {}.highInterval);
    pacing.noteSent(begin + 4ms);
    CHECK(pacing.dueAt() == begin + 4ms + pacing_settings {}.heartbeatInterval);
}

} // namespace almondmoor
