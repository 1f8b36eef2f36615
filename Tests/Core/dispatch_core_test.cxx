// Tests of dispatch_core: retry budgets, quarantine, and the reports that hosts send
// each other.

#include "Core/dispatch_core.h"

#include <catch2/catch.hpp>
#include <map>
#include <memory>

namespace almondmoor {

namespace {

    constexpr instant begin { std::chrono::hours(1) };
    constexpr duration latency = std::chrono::milliseconds(100);

    upstream_directory directoryOf(int count)
    {
        upstream_directory directory;
        for (int index = 0; index < count; ++index) {
            directory_entry it;
            it.id = "u" + std::to_string(index);
            it.service = "orders";
            it.dataCentre = "d1";
            it.slots = 3;
            directory[it.id] = it;
        }
        return directory;
    }

    dispatch_core coreOf(const std::string& host, const std::string& dataCentre, const dispatch_settings& settings = {})
    {
        dispatch_core core(settings, host, dataCentre, {}, 1);
        core.applyDirectory(directoryOf(4), begin);
        return core;
    }

} // namespace

TEST_CASE("the retries of the whole fleet stay within ratio and slack", "[dispatch]")
{
    dispatch_settings settings;
    settings.retryRatio = 0.2;
    settings.retrySlack = 62;
    constexpr unsigned hosts = 44;
    constexpr unsigned requestsPerHost = 40;
    unsigned retries = 0;
    for (unsigned host = 0; host < hosts; ++host) {
        dispatch_core core = coreOf(std::to_string(host), "d1", settings);
        core.setFleetSize(8, hosts);
        for (unsigned index = 0; index < requestsPerHost; ++index) {
            core.recordFirstAttempt("orders");
            retries += core.takeRetry("orders") ? 1 : 0;
        }
    }
    CHECK(retries <= settings.retryRatio * hosts * requestsPerHost + settings.retrySlack);
    CHECK(retries >= settings.retryRatio * hosts * requestsPerHost * 0.8);
}

TEST_CASE("an upstream that two hosts could not connect to is suspected to be cold in every data centre", "[dispatch]")
{
    serving_config config;
    config.services["orders"] = { "/health", std::chrono::seconds(3), 3.7 };
    std::map<std::string, dispatch_core> cores;
    for (const char* host : { "a", "b", "c", "far" }) {
        dispatch_core& core = cores.emplace(host, coreOf(host, *host == 'f' ? "d2" : "d1")).first->second;
        core.applyConfig(config, begin);
    }
    std::map<std::string, std::uint64_t> sequences;
    const auto takeReport = [&](const std::string& host, instant now) {
        neighbour_report report = cores.at(host).takeReport(now);
        report.incarnation = 1;
        report.sequence = ++sequences[host];
        return report;
    };
    cores.at("a").finishAttempt({ "u0", attempt_result::Unreachable, latency, 0 }, begin);
    const neighbour_report first = takeReport("a", begin);
    CHECK(first.unreachableUpstreams == std::vector<std::string> { "u0" });
    cores.at("b").recordReport(first, begin);
    cores.at("c").recordReport(first, begin);
    CHECK(cores.at("c").coldUpstreams(begin) == 0);
    cores.at("b").finishAttempt({ "u0", attempt_result::Unreachable, latency, 0 }, begin);
    const neighbour_report second = takeReport("b", begin);
    cores.at("c").recordReport(second, begin);
    CHECK(cores.at("b").coldUpstreams(begin) == 1);
    CHECK(cores.at("c").coldUpstreams(begin) == 1);
    cores.at("far").recordPeerReport(cores.at("b").takePeerReport(), begin);
    CHECK(cores.at("far").coldUpstreams(begin) == 1);
    CHECK(takeReport("far", begin).suspectedUpstreams == std::vector<std::string> { "u0" });
    // Idle upstreams that are suspected get no trials from elsewhere.
    for (const idle_upstream& it : cores.at("c").takeIdleUpstreams(begin + std::chrono::seconds(6)))
        CHECK(it.id != "u0");
    CHECK(cores.at("c").coldUpstreams(begin + std::chrono::seconds(9)) == 0);
}

TEST_CASE("a request that crashes two upstreams is quarantined in every data centre", "[dispatch]")
{
    constexpr std::uint64_t fingerprint = 77;
    dispatch_core core = coreOf("a", "d1");
    dispatch_core neighbour = coreOf("b", "d1");
    dispatch_core remote = coreOf("c", "d2");
    core.finishAttempt({ "u0", attempt_result::Crashed, latency, fingerprint }, begin);
    core.finishAttempt({ "u0", attempt_result::Crashed, latency, fingerprint }, begin);
    CHECK_FALSE(core.isQuarantined(fingerprint, begin));
    core.finishAttempt({ "u1", attempt_result::Crashed, latency, fingerprint }, begin);
    CHECK(core.isQuarantined(fingerprint, begin));

    const auto peerReport = core.takePeerReport();
    CHECK(peerReport.quarantined == std::vector<quarantined_request> { { fingerprint, begin } });
    CHECK(core.takePeerReport().isEmpty());
    remote.recordPeerReport(peerReport, begin);
    CHECK(remote.isQuarantined(fingerprint, begin));
    // The host that received the report forwards the fingerprint to its neighbours.
    CHECK(remote.takeReport(begin).quarantined == std::vector<quarantined_request> { { fingerprint, begin } });

    neighbour_report report = core.takeReport(begin);
    report.incarnation = 1;
    report.sequence = 1;
    neighbour.recordReport(report, begin);
    CHECK(neighbour.isQuarantined(fingerprint, begin));
}

TEST_CASE("the first failure of an upstream is reported to other data centres once", "[dispatch]")
{
    dispatch_core core = coreOf("a", "d1");
    core.finishAttempt({ "u0", attempt_result::Crashed, latency, 1 }, begin);
    core.finishAttempt({ "u0", attempt_result::Crashed, latency, 2 }, begin);
    const auto peerReport = core.takePeerReport();
    REQUIRE(peerReport.failures.size() == 1);
    CHECK(peerReport.failures[0].upstream == "u0");
    dispatch_core remote = coreOf("c", "d2");
    remote.recordPeerReport(peerReport, begin);
    CHECK(remote.takeReport(begin).samples.size() == 1);
}

TEST_CASE("reports that arrive out of order or from an earlier start are dropped", "[dispatch]")
{
    dispatch_core core = coreOf("a", "d1");
    const auto report = [](std::uint64_t incarnation, std::uint64_t sequence, unsigned inFlight) {
        neighbour_report it;
        it.host = "b";
        it.incarnation = incarnation;
        it.sequence = sequence;
        it.inFlight["u0"] = inFlight;
        it.inFlight["u1"] = inFlight;
        it.inFlight["u2"] = inFlight;
        return it;
    };
    // An upstream is full with twelve requests in flight, so only u3 can be chosen.
    core.recordReport(report(2, 5, 12), begin);
    core.recordReport(report(2, 4, 0), begin);
    core.recordReport(report(1, 9, 0), begin);
    for (int index = 0; index < 3; ++index) {
        const auto result = core.choose({ "orders", false, nullptr, std::chrono::seconds(2), std::chrono::milliseconds(600) }, begin);
        REQUIRE(result.upstream);
        CHECK(result.upstream->id == "u3");
    }
}

TEST_CASE("an idle upstream that no host of the data centre uses is returned by one host, with its estimated health", "[dispatch]")
{
    dispatch_core core = coreOf("a", "d1");
    dispatch_core neighbour = coreOf("b", "d1");
    core.finishAttempt({ "u1", attempt_result::Crashed, std::chrono::seconds(2), 1 }, begin);
    const instant now = begin + std::chrono::seconds(3);
    const auto chosen = neighbour.choose({ "orders", false, nullptr, std::chrono::seconds(2), std::chrono::milliseconds(600) }, now);
    REQUIRE(chosen.upstream);
    neighbour_report report = neighbour.takeReport(now);
    CHECK(report.attemptedUpstreams == std::vector<std::string> { chosen.upstream->id });
    CHECK(neighbour.takeReport(now).attemptedUpstreams.empty());
    report.incarnation = 1;
    report.sequence = 1;
    core.recordReport(report, now);
    report = core.takeReport(now);
    report.incarnation = 1;
    report.sequence = 1;
    neighbour.recordReport(report, now);
    std::vector<idle_upstream> idle = core.takeIdleUpstreams(now);
    for (const idle_upstream& it : neighbour.takeIdleUpstreams(now))
        idle.push_back(it);
    REQUIRE(idle.size() == 3);
    for (const idle_upstream& it : idle) {
        INFO(it.id);
        CHECK(it.id != chosen.upstream->id);
        CHECK(it.idleFor == std::chrono::seconds(3));
        CHECK((it.failingProbability > 0.5) == (it.id == "u1"));
        CHECK((it.idempotentExcessCost > 1) == (it.id == "u1"));
    }
    CHECK(core.takeIdleUpstreams(now).empty());
    CHECK(neighbour.takeIdleUpstreams(now).empty());
    // The nearest data centre sends one trial request to each idle upstream.
    dispatch_core other = coreOf("c", "d2");
    other.recordPeerReport(core.takePeerReport(), now);
    other.recordPeerReport(neighbour.takePeerReport(), now);
    CHECK(other.takeReport(now).idleUpstreams.size() == 3);
    for (int index = 0; index < 4; ++index) {
        const auto result = other.choose({ "orders", true, nullptr, std::chrono::seconds(2), std::chrono::milliseconds(600) }, now);
        REQUIRE(result.upstream);
        CHECK(result.isTrial == (index < 3));
    }
}

TEST_CASE("reports list only teams with recent admissions, and a lost report loses no admissions", "[dispatch]")
{
    serving_config config;
    config.teams["shop"] = { "shop", 10, 100, std::nullopt };
    config.teams["idle"] = { "idle", 10, 100, std::nullopt };
    dispatch_core sender = coreOf("a", "d1");
    dispatch_core neighbour = coreOf("b", "d1");
    instant now = begin;
    sender.applyConfig(config, now);
    std::uint64_t sequence = 0;
    const auto reportAfter = [&](unsigned requests, duration delay, bool isDelivered) {
        for (unsigned index = 0; index < requests; ++index)
            REQUIRE(sender.takeToken("shop", now));
        neighbour_report report = sender.takeReport(now);
        report.incarnation = 1;
        report.sequence = ++sequence;
        if (isDelivered)
            neighbour.recordReport(report, now);
        now += delay;
        return report;
    };
    // The neighbour receives its first report while the team sends no requests.
    reportAfter(3, std::chrono::seconds(5), false);
    CHECK(reportAfter(0, std::chrono::seconds(1), true).admitted.empty());
    neighbour.applyConfig(config, now);
    const duration before = neighbour.timeUntilToken("shop", now);
    CHECK(before == duration::zero());
    // One report of the new series is lost; the next one makes up for it.
    reportAfter(20, std::chrono::milliseconds(100), false);
    const neighbour_report last = reportAfter(13, duration::zero(), true);
    REQUIRE(last.admitted.size() == 1);
    CHECK(last.admitted.at("shop") == admitted_count { 36, 3 });
    // A new host's bucket holds 30 tokens; 33 were admitted elsewhere.
    CHECK(neighbour.timeUntilToken("shop", now) > duration::zero());
}

// Guards against hosts that all make the trial of an unused upstream at one instant, because each of them finds it due
// and has heard of no other trial yet.
TEST_CASE("pattern: hosts with the same information do not overload one upstream", "[dispatch]")
{
    constexpr unsigned hosts = 18;
    constexpr unsigned upstreams = 42;
    constexpr unsigned slots = 3;
    constexpr unsigned instants = 40;
    constexpr instant begin { std::chrono::hours(1) };
    upstream_directory directory;
    for (unsigned index = 0; index < upstreams; ++index) {
        const std::string id = "i-" + std::to_string(index);
        directory[id] = { id, "10.0.0.1:80", "orders", "lag-1", slots };
    }
    for (unsigned index = 0; index < instants; ++index) {
        const instant now = begin + std::chrono::seconds(2) + std::chrono::milliseconds(13) * index;
        std::vector<std::unique_ptr<dispatch_core>> cores;
        for (unsigned host = 0; host < hosts; ++host) {
            cores.push_back(std::make_unique<dispatch_core>(dispatch_settings {}, "h" + std::to_string(host), "lag-1", region_map {}, host + 1));
            cores.back()->applyDirectory(directory, begin);
        }
        // Each host reports good results for every upstream but the first, and no use of any.
        for (unsigned host = 0; host < hosts; ++host) {
            neighbour_report report;
            report.host = "h" + std::to_string(host);
            report.incarnation = 1;
            report.sequence = 1;
            for (unsigned upstream = 1; upstream < upstreams; ++upstream)
                report.samples.push_back({ "i-" + std::to_string(upstream), attempt_result::Good, std::chrono::milliseconds(150), 0 });
            for (unsigned other = 0; other < hosts; ++other) {
                if (other != host)
                    cores[other]->recordReport(report, now);
            }
        }
        for (const bool canRetry : { true, false }) {
            std::map<std::string, unsigned> counts;
            for (const auto& core : cores) {
                const choice_result result = core->choose({ "orders", canRetry, nullptr, std::chrono::milliseconds(1500), std::chrono::milliseconds(600) }, now);
                REQUIRE(result.upstream);
                ++counts[result.upstream->id];
            }
            for (const auto& [id, count] : counts) {
                INFO(id << " at instant " << index);
                CHECK(count <= slots);
            }
        }
    }
}

} // namespace almondmoor
