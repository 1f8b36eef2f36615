// Tests in the simulated service that enough of the healthy upstreams get requests, with
// many hosts that choose independently.

#include "service_model.h"

#include <catch2/catch.hpp>
#include <string>

namespace almondmoor {

namespace {

    using namespace std::chrono_literals;

    // Minimum fraction of the healthy upstreams that must get a request in any two seconds.
    constexpr double requiredCoverage = 0.7;
    constexpr unsigned seeds = 3;

    // Returns an idempotent kind of request and one that is not.
    std::vector<model_kind> mixedKinds(double idempotentPerSecond, double nonIdempotentPerSecond)
    {
        return { { true, idempotentPerSecond, 320ms, 1200ms, 4000ms }, { false, nonIdempotentPerSecond, 420ms, 1200ms, 4000ms } };
    }

    std::vector<model_kind> nonIdempotentKinds(double perSecond)
    {
        return { { false, perSecond, 220ms, 800ms, 4000ms } };
    }

    model_pattern makePattern(const char* name, unsigned upstreamsPerDataCentre, std::vector<model_kind> kinds)
    {
        model_pattern pattern;
        pattern.name = name;
        pattern.hostsPerDataCentre = 6;
        pattern.upstreamsPerDataCentre = upstreamsPerDataCentre;
        pattern.slots = 6;
        pattern.kinds = std::move(kinds);
        pattern.failingFraction = 0.1;
        return pattern;
    }

    model_pattern withOutage(model_pattern pattern, failure_mode failureMode)
    {
        pattern.failureMode = failureMode;
        pattern.outageFraction = 0.4;
        pattern.outageOffset = 10s;
        pattern.outageDuration = 6s;
        return pattern;
    }

    std::vector<model_pattern> patterns()
    {
        std::vector<model_pattern> all {
            makePattern("calm", 4, mixedKinds(23, 65)),
            withOutage(makePattern("some reset for six seconds", 4, mixedKinds(23, 65)), failure_mode::Reset),
            withOutage(makePattern("some hang for six seconds", 4, mixedKinds(23, 65)), failure_mode::Hang),
            withOutage(makePattern("some hang, without idempotent requests", 2, nonIdempotentKinds(30)), failure_mode::Hang),
            withOutage(makePattern("some hang, few requests", 4, mixedKinds(12, 33)), failure_mode::Hang),
        };
        model_pattern grown = withOutage(makePattern("some hang, many hosts", 34, mixedKinds(275, 776)), failure_mode::Hang);
        grown.hostsPerDataCentre = 17;
        all.push_back(grown);
        model_pattern quiet = withOutage(makePattern("two data centres of different regions without requests", 4, mixedKinds(23, 65)), failure_mode::Reset);
        quiet.quietDataCentres = { 1, 4 };
        all.push_back(quiet);
        return all;
    }

} // namespace

// Guards against hosts that leave recovered upstreams idle because of outdated estimates
// while they refuse requests.
TEST_CASE("upstreams that have recovered get requests", "[coverage]")
{
    for (const model_pattern& pattern : patterns()) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const model_result result = service_model(pattern, { "present", {}, {} }, seed).run();
            INFO(pattern.name << ", seed " << seed);
            CHECK(result.minCoverage >= requiredCoverage);
        }
    }
}

} // namespace almondmoor
