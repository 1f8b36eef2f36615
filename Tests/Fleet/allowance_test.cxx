// Tests that all hosts together never exceed a team's rate and burst, and that
// a team within its rate is served even if its clients use only a few hosts.

#include "Fleet/fake_fleet.h"

#include <absl/strings/str_format.h>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>

namespace almondmoor {

namespace {

    using namespace std::chrono_literals;

    const std::vector<std::string> sixDataCentres { "lagos-1", "lagos-2", "kano-1", "kano-2", "enugu-1", "enugu-2" };

    // Schedules Poisson arrivals of a team at random hosts of a list for a time span.
    void scheduleArrivals(fake_fleet& fleet, const std::string& team, double ratePerSecond, const std::vector<unsigned>& hosts, duration span)
    {
        std::exponential_distribution<double> interarrivalTime(ratePerSecond);
        std::uniform_int_distribution<std::size_t> choice(0, hosts.size() - 1);
        for (double at = interarrivalTime(fleet.random()); at < toSeconds(span); at += interarrivalTime(fleet.random())) {
            const unsigned host = hosts[choice(fleet.random())];
            fleet.schedule(fleet.now() + fromSeconds(at), [&fleet, host, team] { fleet.request(host, team); });
        }
    }

    void waitUntilFormed(fake_fleet& fleet)
    {
        REQUIRE(fleet.runUntil([&] { return fleet.member(0).held()->hosts().size() == fleet.size() && fleet.member(0).held()->shardHomes().size() == shardCount; }, 200s));
        fleet.run(2s);
    }

    std::vector<unsigned> allHosts(const fake_fleet& fleet)
    {
        std::vector<unsigned> hosts;
        for (unsigned host = 0; host < fleet.size(); ++host)
            hosts.push_back(host);
        return hosts;
    }

} // namespace

namespace {

    struct placement_case {
        const char* name;
        // Hosts to which the clients connect; empty for all hosts.
        std::vector<unsigned> hosts;
        double rate;
        double burst;
    };

    // Sends requests at 0.95 of a team's rate for 65 s. Compares the refusals after
    // the first 5 s with those of a single bucket for the whole fleet, since the
    // arrivals that a single bucket refuses exceed the team's rate and burst.
    void checkRefusals(const placement_case& placement, std::uint64_t seed)
    {
        fleet_options options;
        options.hosts = 40;
        options.dataCentres = sixDataCentres;
        options.seed = seed;
        fake_fleet fleet(options);
        waitUntilFormed(fleet);
        REQUIRE(fleet.commit(0, absl::StrFormat("create team cooling rate %g/s burst %g", placement.rate, placement.burst)));
        fleet.run(2s);
        fleet.clearCounts();
        scheduleArrivals(fleet, "cooling", 0.95 * placement.rate, placement.hosts.empty() ? allHosts(fleet) : placement.hosts, 65s);
        fleet.run(5s);
        const auto earlyRefusals = fleet.refused("cooling");
        fleet.run(62s);
        const auto laterRefusals = fleet.refused("cooling") - earlyRefusals;
        const auto singleBucketRefusals = fake_fleet::countRefusedBySingleBucket(fleet.arrived("cooling"), placement.rate, placement.burst);
        const double excessRefusals = std::max(0.0, static_cast<double>(laterRefusals) - static_cast<double>(singleBucketRefusals));
        const double excessFraction = excessRefusals / static_cast<double>(fleet.arrived("cooling").size());
        std::cout << absl::StrFormat("allowance: %-24s seed %d refused beyond one bucket %.3f%% (%d early), by one bucket %d, messages/s/host %.1f\n", placement.name, seed,
            100 * excessFraction, earlyRefusals, singleBucketRefusals, static_cast<double>(fleet.totals().messages) / 67 / fleet.size());
        CHECK(fake_fleet::conformsToRate(fleet.admitted("cooling"), placement.rate, placement.burst));
        CHECK(excessFraction < 0.005);
    }

} // namespace

TEST_CASE("a team within its rate is served wherever its clients connect", "[allowance]")
{
    const auto placement = GENERATE(placement_case { "on 3 of 40 hosts", { 1, 14, 27 }, 50, 100 }, placement_case { "on one host", { 5 }, 50, 100 },
        placement_case { "on all hosts", {}, 50, 100 });
    const auto seed = GENERATE(1U, 2U, 3U);
    checkRefusals(placement, seed);
}

TEST_CASE("teams are served during a long outage of the store", "[allowance]")
{
    // ALMONDMOOR_OUTAGE_MINUTES sets a longer outage for manual runs.
    const char* requestedMinutes = std::getenv("ALMONDMOOR_OUTAGE_MINUTES");
    const duration outageDuration = std::chrono::minutes(requestedMinutes ? std::stoul(requestedMinutes) : 2);
    const auto lostHostCount = GENERATE(0U, 1U, 2U);
    fleet_options options;
    options.hosts = 40;
    options.dataCentres = sixDataCentres;
    options.seed = 11;
    fake_fleet fleet(options);
    waitUntilFormed(fleet);
    REQUIRE(fleet.commit(0, "create team cooling rate 50/s burst 100"));
    fleet.run(2s);
    const auto hosts = allHosts(fleet);
    scheduleArrivals(fleet, "cooling", 0.95 * 50, hosts, 20s);
    fleet.run(20s);
    fleet.setStoreUnavailable(true);
    const unsigned home = static_cast<unsigned>(std::stoul(fleet.member(0).held()->shardHomes().at(shardOf("cooling")).host.substr(1)));
    std::vector<unsigned> remainingHosts;
    for (const unsigned host : hosts) {
        // Kills only holders. The loss of the team's home is a different failure.
        const bool isLost = host < home + 1 + lostHostCount && host > home;
        if (isLost)
            fleet.kill(host);
        else
            remainingHosts.push_back(host);
    }
    fleet.clearCounts();
    scheduleArrivals(fleet, "cooling", 0.95 * 50, remainingHosts, outageDuration);
    fleet.run(outageDuration + 1s);
    const auto arrived = static_cast<double>(fleet.arrived("cooling").size());
    const double refusedFraction = static_cast<double>(fleet.refused("cooling")) / arrived;
    std::cout << absl::StrFormat("allowance, store away %d min, %d hosts lost: refused %.3f%%\n", std::chrono::duration_cast<std::chrono::minutes>(outageDuration).count(), lostHostCount, 100 * refusedFraction);
    CHECK(fake_fleet::conformsToRate(fleet.admitted("cooling"), 50, 100));
    if (lostHostCount == 0)
        CHECK(refusedFraction < 0.01);
}

TEST_CASE("a new team can use its whole burst at once", "[allowance]")
{
    fleet_options options;
    options.hosts = 3;
    fake_fleet fleet(options);
    waitUntilFormed(fleet);
    REQUIRE(fleet.commit(0, "create team cooling rate 1/s burst 30"));
    fleet.run(1s);
    for (unsigned number = 0; number < 40; ++number)
        fleet.request(number % 3, "cooling");
    fleet.run(1s);
    // One or two more tokens accrue while the requests wait.
    CHECK(fleet.admitted("cooling").size() >= 30);
    CHECK(fake_fleet::conformsToRate(fleet.admitted("cooling"), 1, 30));
}

TEST_CASE("a small team within its rate is served on all hosts", "[allowance]")
{
    const auto seed = GENERATE(1U, 2U, 3U, 4U, 5U, 6U);
    checkRefusals(placement_case { "small, on all hosts", {}, 4, 20 }, seed);
}

} // namespace almondmoor
