// The stated targets of gray detection, on the scenarios of gray_scenario.h, and
// what happens with a mechanism switched off.

#include "gray_scenario.h"

#include <catch2/catch.hpp>
#include <iostream>

namespace almondmoor {

namespace {

    scenario_result runWith(gray_kind kind, std::uint64_t seed, const health_settings& health = {}, double floor = 0.6)
    {
        scenario_settings settings;
        settings.kind = kind;
        settings.seed = seed;
        settings.floor = floor;
        const router_settings router { .nearFirst = false };
        return gray_scenario<gray_router>(settings, [&](unsigned, const std::string& dataCentre) { return gray_router(router, health, dataCentre); }).run();
    }

} // namespace

TEST_CASE("a gray upstream is out of new work within 2 s and nobody else is", "[gray]")
{
    const auto kind = GENERATE(gray_kind::Slow, gray_kind::FailingWork, gray_kind::Flapping);
    const auto seed = GENERATE(1U, 2U, 3U, 4U, 5U);
    const scenario_result it = runWith(kind, seed);
    INFO(nameIn(grayKindNames, kind) << " seed " << seed);
    CHECK(it.detectionSeconds >= 0);
    CHECK(it.detectionSeconds <= 2);
    CHECK(it.falseEjections == 0);
    CHECK(it.leastCapacity >= 0.6);
}

TEST_CASE("noise, a slow service, a cut host and shed load eject nobody", "[gray]")
{
    const auto kind = GENERATE(gray_kind::Healthy, gray_kind::AllSlow, gray_kind::OneHostCut, gray_kind::Shedding);
    const auto seed = GENERATE(1U, 2U, 3U, 4U, 5U);
    const scenario_result it = runWith(kind, seed);
    INFO(nameIn(grayKindNames, kind) << " seed " << seed);
    CHECK(it.falseEjections == 0);
    CHECK(it.leastCapacity == 1);
}

TEST_CASE("ejection stops at the floor", "[gray]")
{
    // Most of the service turns bad together with the comparison off, which is
    // the worst that ejection could be led to.
    const auto keepsFloor = GENERATE(true, false);
    health_settings health;
    health.compareWithService = false;
    health.keepFloor = keepsFloor;
    const scenario_result it = runWith(gray_kind::AllSlow, 1, health);
    if (keepsFloor)
        CHECK(it.leastCapacity >= 0.6);
    else
        CHECK(it.leastCapacity < 0.6);
}

TEST_CASE("without the comparison a slow service ejects healthy upstreams", "[gray]")
{
    health_settings health;
    health.compareWithService = false;
    CHECK(runWith(gray_kind::AllSlow, 1, health).falseEjections > 0);
}

TEST_CASE("crash requests eject nobody, and without the rule they do", "[gray]")
{
    const auto ignoresRepeats = GENERATE(true, false);
    health_settings settings;
    settings.ignoreRepeatedCrashes = ignoresRepeats;
    configuration held;
    (void)held.apply({ "a", 1, "", 0, "create service refills floor 50%" });
    for (unsigned index = 1; index <= 8; ++index)
        (void)held.apply({ "b", index + 1, "", 0, absl::StrCat("create upstream 10.0.0.", index, ":80 for service refills in lagos-1") });
    endpoint_health health(settings, "lagos-1");
    instant now(std::chrono::hours(1));
    health.adopt(held, now);
    std::size_t ejected = 0;
    for (unsigned round = 0; round < 200; ++round) {
        now += std::chrono::milliseconds(50);
        for (unsigned index = 1; index <= 8; ++index) {
            const std::string upstream = absl::StrCat("10.0.0.", index, ":80");
            // One poisonous request goes round while the others do well.
            const bool isPoisoned = index <= 2 && round % 2 == 0;
            const work_sample sample { upstream, isPoisoned ? work_result::Crashed : work_result::Good, 10, 42, 1 };
            health.note(absl::StrCat("h", round % 3), "lagos-1", sample, now);
        }
        for (const auto& moved : health.tick(now))
            ejected += moved.to == endpoint_state::Ejected ? 1 : 0;
    }
    if (ignoresRepeats)
        CHECK(ejected == 0);
    else
        CHECK(ejected > 0);
}

} // namespace almondmoor
