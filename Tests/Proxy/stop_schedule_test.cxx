// Tests the schedule of a planned stop.

#include "stop_schedule.h"

#include <array>
#include <catch2/catch.hpp>

namespace almondmoor {

TEST_CASE("a planned stop leaves admitted requests at least a quarter of the grace period", "[stop]")
{
    using namespace std::chrono_literals;

    struct row {
        duration notice;
        duration grace;
        duration closeAt;
        duration refuseAt;
        duration exitAt;
    };
    const std::array<row, 5> rows { {
        { 2000ms, 1000ms, 500ms, 500ms, 800ms },
        { 500ms, 3000ms, 500ms, 1500ms, 2600ms },
        { 2000ms, 6000ms, 2000ms, 2900ms, 5600ms },
        { 2000ms, 10'000ms, 2000ms, 2900ms, 9600ms },
        { 60'000ms, 3'600'000ms, 2900ms, 2900ms, 3'599'600ms },
    } };
    for (const row& it : rows) {
        INFO(std::chrono::duration_cast<std::chrono::milliseconds>(it.grace).count() << " ms of grace");
        const stop_schedule schedule = makeStopSchedule(it.notice, it.grace);
        CHECK(schedule.closeAt == it.closeAt);
        CHECK(schedule.refuseAt == it.refuseAt);
        CHECK(schedule.exitAt == it.exitAt);
        CHECK(schedule.exitAt - schedule.refuseAt >= it.grace / 4);
    }
}

} // namespace almondmoor
