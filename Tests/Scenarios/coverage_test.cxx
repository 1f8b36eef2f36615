// Whether work comes to every upstream that is well, over many hosts, in the model
// of a service.

#include "service_model.h"

#include <catch2/catch.hpp>
#include <string>

namespace almondmoor {

namespace {

    using namespace std::chrono_literals;

    // Part of the upstreams that are well to which work must come in any two seconds.
    constexpr double floorShare = 0.7;
    constexpr unsigned seeds = 3;

    // The first is a request that can be sent again, the second one that must not be.
    std::vector<model_kind> mixedKinds(double safePerSecond, double otherPerSecond)
    {
        return { { true, safePerSecond, 320ms, 1200ms, 4000ms }, { false, otherPerSecond, 420ms, 1200ms, 4000ms } };
    }

    std::vector<model_kind> unrepeatableKinds(double perSecond)
    {
        return { { false, perSecond, 220ms, 800ms, 4000ms } };
    }

    model_pattern patternOf(const char* name, unsigned upstreamsPerDataCentre, std::vector<model_kind> kinds)
    {
        model_pattern it;
        it.name = name;
        it.hostsPerDataCentre = 6;
        it.upstreamsPerDataCentre = upstreamsPerDataCentre;
        it.slots = 6;
        it.kinds = std::move(kinds);
        it.failingPart = 0.1;
        return it;
    }

    model_pattern withOutage(model_pattern it, failure_manner manner)
    {
        it.manner = manner;
        it.outagePart = 0.4;
        it.outageFrom = 10s;
        it.outageLength = 6s;
        return it;
    }

    std::vector<model_pattern> patterns()
    {
        std::vector<model_pattern> all {
            patternOf("calm", 4, mixedKinds(23, 65)),
            withOutage(patternOf("some reset for six seconds", 4, mixedKinds(23, 65)), failure_manner::Reset),
            withOutage(patternOf("some hang for six seconds", 4, mixedKinds(23, 65)), failure_manner::Hang),
            withOutage(patternOf("some hang, without idempotent requests", 2, unrepeatableKinds(30)), failure_manner::Hang),
            withOutage(patternOf("some hang, few requests", 4, mixedKinds(12, 33)), failure_manner::Hang),
        };
        model_pattern grown = withOutage(patternOf("some hang, many hosts", 34, mixedKinds(275, 776)), failure_manner::Hang);
        grown.hostsPerDataCentre = 17;
        all.push_back(grown);
        model_pattern quiet = withOutage(patternOf("two data centres of different regions without requests", 4, mixedKinds(23, 65)), failure_manner::Reset);
        quiet.quietDataCentres = { 1, 4 };
        all.push_back(quiet);
        return all;
    }

} // namespace

// Guards against sound upstreams that stand idle because of what was believed of
// them, while requests are refused.
TEST_CASE("work comes to upstreams that are well again", "[coverage]")
{
    for (const model_pattern& pattern : patterns()) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const model_result result = service_model(pattern, { "present", {}, {} }, seed).run();
            INFO(pattern.name << ", seed " << seed);
            CHECK(result.leastCovered >= floorShare);
        }
    }
}

} // namespace almondmoor
