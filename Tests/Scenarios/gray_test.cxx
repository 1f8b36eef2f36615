// Targets of gray failure detection, checked on the scenarios of gray_scenario.h, and the effect of switching
// single mechanisms off.

#include "gray_scenario.h"

#include <catch2/catch.hpp>
#include <iostream>

namespace almondmoor {

namespace {

    scenario_result runWith(fault_kind kind, std::uint64_t seed, const health_settings& health = {}, double floor = 0.6)
    {
        scenario_settings settings;
        settings.kind = kind;
        settings.seed = seed;
        settings.floor = floor;
        const router_settings router { .preferNear = false };
        return gray_scenario<gray_router>(settings, [&](unsigned, const std::string& dataCentre) { return gray_router(router, health, dataCentre); }).run();
    }

} // namespace

TEST_CASE("hosts stop using a gray upstream within 2 s and eject no healthy upstream", "[gray]")
{
    const auto kind = GENERATE(fault_kind::Slow, fault_kind::FailingRequests, fault_kind::Flapping);
    const auto seed = GENERATE(1U, 2U, 3U, 4U, 5U);
    const scenario_result result = runWith(kind, seed);
    INFO(nameIn(faultKindNames, kind) << " seed " << seed);
    CHECK(result.detectionSeconds >= 0);
    CHECK(result.detectionSeconds <= 2);
    CHECK(result.falseEjections == 0);
    CHECK(result.minCapacity >= 0.6);
}

TEST_CASE("noise, a slow service, a disconnected host and load shedding cause no ejections", "[gray]")
{
    const auto kind = GENERATE(fault_kind::Healthy, fault_kind::AllSlow, fault_kind::OneHostDisconnected, fault_kind::Shedding);
    const auto seed = GENERATE(1U, 2U, 3U, 4U, 5U);
    const scenario_result result = runWith(kind, seed);
    INFO(nameIn(faultKindNames, kind) << " seed " << seed);
    CHECK(result.falseEjections == 0);
    CHECK(result.minCapacity == 1);
}

TEST_CASE("ejection stops at the floor", "[gray]")
{
    // Worst case for ejection: most of the service is unhealthy and the comparison with the service is off.
    const auto keepsFloor = GENERATE(true, false);
    health_settings health;
    health.compareWithService = false;
    health.keepFloor = keepsFloor;
    const scenario_result result = runWith(fault_kind::AllSlow, 1, health);
    if (keepsFloor)
        CHECK(result.minCapacity >= 0.6);
    else
        CHECK(result.minCapacity < 0.6);
}

TEST_CASE("without the comparison with the service, a slow service causes ejections of healthy upstreams", "[gray]")
{
    health_settings health;
    health.compareWithService = false;
    CHECK(runWith(fault_kind::AllSlow, 1, health).falseEjections > 0);
}

TEST_CASE("a request that crashes several upstreams causes no ejections, unless repeated crashes count", "[gray]")
{
    const auto ignoresRepeatedCrashes = GENERATE(true, false);
    health_settings settings;
    settings.ignoreRepeatedCrashes = ignoresRepeatedCrashes;
    configuration testConfiguration;
    (void)testConfiguration.apply({ "a", 1, "", 0, "create service refills floor 50%" });
    for (unsigned index = 1; index <= 8; ++index)
        (void)testConfiguration.apply({ "b", index + 1, "", 0, absl::StrCat("create upstream 10.0.0.", index, ":80 for service refills in lagos-1") });
    upstream_health health(settings, "lagos-1");
    instant now(std::chrono::hours(1));
    health.applyConfiguration(testConfiguration, now);
    std::size_t ejected = 0;
    for (unsigned round = 0; round < 200; ++round) {
        now += std::chrono::milliseconds(50);
        for (unsigned index = 1; index <= 8; ++index) {
            const std::string upstream = absl::StrCat("10.0.0.", index, ":80");
            // One crashing request is sent to two upstreams in turn. The other requests succeed.
            const bool isCrash = index <= 2 && round % 2 == 0;
            const attempt_sample sample { upstream, isCrash ? attempt_result::Crashed : attempt_result::Good, 10, 42, 1 };
            health.recordSample(absl::StrCat("h", round % 3), "lagos-1", sample, now);
        }
        for (const auto& transition : health.tick(now))
            ejected += transition.to == upstream_state::Ejected ? 1 : 0;
    }
    if (ignoresRepeatedCrashes)
        CHECK(ejected == 0);
    else
        CHECK(ejected > 0);
}

} // namespace almondmoor
