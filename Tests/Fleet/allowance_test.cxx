// Rates and bursts over all hosts together: exact under every failure, and
// useful to teams whose guests are spread unevenly.

#include "Fleet/fake_fleet.h"

#include <absl/strings/str_format.h>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>

namespace almondmoor {

namespace {

    using namespace std::chrono_literals;

    const std::vector<std::string> sixDataCentres { "lagos-1", "lagos-2", "kano-1", "kano-2", "enugu-1", "enugu-2" };

    // Sends Poisson arrivals of a team to some hosts for a time.
    void offer(fake_fleet& fleet, const std::string& team, double ratePerSecond, const std::vector<unsigned>& hosts, duration span)
    {
        std::exponential_distribution<double> gap(ratePerSecond);
        std::uniform_int_distribution<std::size_t> choice(0, hosts.size() - 1);
        for (double at = gap(fleet.random()); at < toSeconds(span); at += gap(fleet.random())) {
            const unsigned host = hosts[choice(fleet.random())];
            fleet.schedule(fleet.now() + fromSeconds(at), [&fleet, host, team] { fleet.request(host, team); });
        }
    }

    void formFleet(fake_fleet& fleet)
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

    struct spread_case {
        const char* name;
        std::vector<unsigned> hosts;
        double rate;
        double burst;
    };

    // Offers a team 0.95 of its rate for 65 s and compares what was refused after
    // the first 5 s with what one bucket for the whole fleet would refuse: arrivals
    // beyond that bucket are above the team's rate and burst.
    void checkSpread(const spread_case& it, std::uint64_t seed)
    {
        fleet_options options;
        options.hosts = 40;
        options.dataCentres = sixDataCentres;
        options.seed = seed;
        fake_fleet fleet(options);
        formFleet(fleet);
        REQUIRE(fleet.commit(0, absl::StrFormat("create team cooling rate %g/s burst %g", it.rate, it.burst)));
        fleet.run(2s);
        fleet.clearCounts();
        offer(fleet, "cooling", 0.95 * it.rate, it.hosts.empty() ? allHosts(fleet) : it.hosts, 65s);
        fleet.run(5s);
        const auto refusedEarly = fleet.refused("cooling");
        fleet.run(62s);
        const auto refusedLater = fleet.refused("cooling") - refusedEarly;
        const auto byOneBucket = fake_fleet::countRefusedBySingleBucket(fleet.arrived("cooling"), it.rate, it.burst);
        const double excess = std::max(0.0, static_cast<double>(refusedLater) - static_cast<double>(byOneBucket));
        const double part = excess / static_cast<double>(fleet.arrived("cooling").size());
        std::cout << absl::StrFormat("allowance: %-24s seed %d refused beyond one bucket %.3f%% (%d early), by one bucket %d, messages/s/host %.1f\n", it.name, seed,
            100 * part, refusedEarly, byOneBucket, static_cast<double>(fleet.totals().messages) / 67 / fleet.size());
        CHECK(fake_fleet::conformsToRate(fleet.admitted("cooling"), it.rate, it.burst));
        CHECK(part < 0.005);
    }

} // namespace

TEST_CASE("a team within its rate is served wherever its guests connect", "[allowance]")
{
    const auto it = GENERATE(spread_case { "stuck to 3 of 40 hosts", { 1, 14, 27 }, 50, 100 }, spread_case { "on one host", { 5 }, 50, 100 },
        spread_case { "over all hosts", {}, 50, 100 });
    const auto seed = GENERATE(1U, 2U, 3U);
    checkSpread(it, seed);
}

TEST_CASE("teams are served through a long outage of the store", "[allowance]")
{
    // ALMONDMOOR_OUTAGE_MINUTES asks for a longer run by hand.
    const char* asked = std::getenv("ALMONDMOOR_OUTAGE_MINUTES");
    const duration length = std::chrono::minutes(asked ? std::stoul(asked) : 2);
    const auto lostHosts = GENERATE(0U, 1U, 2U);
    fleet_options options;
    options.hosts = 40;
    options.dataCentres = sixDataCentres;
    options.seed = 11;
    fake_fleet fleet(options);
    formFleet(fleet);
    REQUIRE(fleet.commit(0, "create team cooling rate 50/s burst 100"));
    fleet.run(2s);
    const auto hosts = allHosts(fleet);
    offer(fleet, "cooling", 0.95 * 50, hosts, 20s);
    fleet.run(20s);
    fleet.setStoreUnavailable(true);
    const unsigned home = static_cast<unsigned>(std::stoul(fleet.member(0).held()->shardHomes().at(shardOf("cooling")).host.substr(1)));
    std::vector<unsigned> left;
    for (const unsigned host : hosts) {
        // The hosts lost are holders; losing a home is another matter.
        const bool isLost = host < home + 1 + lostHosts && host > home;
        if (isLost)
            fleet.kill(host);
        else
            left.push_back(host);
    }
    fleet.clearCounts();
    offer(fleet, "cooling", 0.95 * 50, left, length);
    fleet.run(length + 1s);
    const auto arrived = static_cast<double>(fleet.arrived("cooling").size());
    const double part = static_cast<double>(fleet.refused("cooling")) / arrived;
    std::cout << absl::StrFormat("allowance, store away %d min, %d hosts lost: refused %.3f%%\n", std::chrono::duration_cast<std::chrono::minutes>(length).count(), lostHosts, 100 * part);
    CHECK(fake_fleet::conformsToRate(fleet.admitted("cooling"), 50, 100));
    if (lostHosts == 0)
        CHECK(part < 0.01);
}

TEST_CASE("a new team may use its whole burst at once", "[allowance]")
{
    fleet_options options;
    options.hosts = 3;
    fake_fleet fleet(options);
    formFleet(fleet);
    REQUIRE(fleet.commit(0, "create team cooling rate 1/s burst 30"));
    fleet.run(1s);
    for (unsigned number = 0; number < 40; ++number)
        fleet.request(number % 3, "cooling");
    fleet.run(1s);
    // One or two more accrue while the requests wait.
    CHECK(fleet.admitted("cooling").size() >= 30);
    CHECK(fake_fleet::conformsToRate(fleet.admitted("cooling"), 1, 30));
}

TEST_CASE("a small team within its rate is served over all hosts", "[allowance]")
{
    const auto seed = GENERATE(1U, 2U, 3U, 4U, 5U, 6U);
    checkSpread(spread_case { "small, over all hosts", {}, 4, 20 }, seed);
}

} // namespace almondmoor
