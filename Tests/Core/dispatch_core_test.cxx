// Retry budgets, quarantine and what hosts tell each other.

#include "Core/dispatch_core.h"

#include <catch2/catch.hpp>

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
        core.adoptDirectory(directoryOf(4), begin);
        return core;
    }

} // namespace

TEST_CASE("the fleet's retries stay within ratio and slack", "[dispatch]")
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
            core.noteFirstAttempt("orders");
            retries += core.takeRetry("orders") ? 1 : 0;
        }
    }
    CHECK(retries <= settings.retryRatio * hosts * requestsPerHost + settings.retrySlack);
    CHECK(retries >= settings.retryRatio * hosts * requestsPerHost * 0.8);
}

TEST_CASE("a request that crashes two upstreams is quarantined, in every data centre", "[dispatch]")
{
    constexpr std::uint64_t fingerprint = 77;
    dispatch_core core = coreOf("a", "d1");
    dispatch_core neighbour = coreOf("b", "d1");
    dispatch_core far = coreOf("c", "d2");
    core.finishAttempt({ "u0", work_result::Crashed, latency, fingerprint }, begin);
    core.finishAttempt({ "u0", work_result::Crashed, latency, fingerprint }, begin);
    CHECK_FALSE(core.isQuarantined(fingerprint, begin));
    core.finishAttempt({ "u1", work_result::Crashed, latency, fingerprint }, begin);
    CHECK(core.isQuarantined(fingerprint, begin));

    const auto notice = core.takeNotice();
    CHECK(notice.quarantined == std::vector<std::uint64_t> { fingerprint });
    CHECK(core.takeNotice().isEmpty());
    far.noteNotice(notice, begin);
    CHECK(far.isQuarantined(fingerprint, begin));
    // The host that was told passes it on.
    CHECK(far.takeReport(begin).quarantined == std::vector<std::uint64_t> { fingerprint });

    neighbour_report report = core.takeReport(begin);
    report.incarnation = 1;
    report.sequence = 1;
    neighbour.noteReport(report, begin);
    CHECK(neighbour.isQuarantined(fingerprint, begin));
}

TEST_CASE("the first sign of a failing upstream is told to other data centres once", "[dispatch]")
{
    dispatch_core core = coreOf("a", "d1");
    core.finishAttempt({ "u0", work_result::Crashed, latency, 1 }, begin);
    core.finishAttempt({ "u0", work_result::Crashed, latency, 2 }, begin);
    const auto notice = core.takeNotice();
    REQUIRE(notice.failures.size() == 1);
    CHECK(notice.failures[0].upstream == "u0");
    dispatch_core far = coreOf("c", "d2");
    far.noteNotice(notice, begin);
    CHECK(far.takeReport(begin).samples.size() == 1);
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
    // With twelve in flight an upstream is full, so that only the last is left.
    core.noteReport(report(2, 5, 12), begin);
    core.noteReport(report(2, 4, 0), begin);
    core.noteReport(report(1, 9, 0), begin);
    for (int index = 0; index < 3; ++index) {
        const auto result = core.choose({ "orders", false, nullptr, std::chrono::seconds(2), std::chrono::milliseconds(600) }, begin);
        REQUIRE(result.upstream);
        CHECK(result.upstream->id == "u3");
    }
}

TEST_CASE("an idle upstream is told by one host, unless a neighbour used it, with what is believed of it", "[dispatch]")
{
    dispatch_core core = coreOf("a", "d1");
    dispatch_core neighbour = coreOf("b", "d1");
    core.finishAttempt({ "u1", work_result::Crashed, std::chrono::seconds(2), 1 }, begin);
    const instant now = begin + std::chrono::seconds(3);
    const auto chosen = neighbour.choose({ "orders", false, nullptr, std::chrono::seconds(2), std::chrono::milliseconds(600) }, now);
    REQUIRE(chosen.upstream);
    neighbour_report report = neighbour.takeReport(now);
    CHECK(report.started == std::vector<std::string> { chosen.upstream->id });
    CHECK(neighbour.takeReport(now).started.empty());
    report.incarnation = 1;
    report.sequence = 1;
    core.noteReport(report, now);
    report = core.takeReport(now);
    report.incarnation = 1;
    report.sequence = 1;
    neighbour.noteReport(report, now);
    std::vector<idle_upstream> idle = core.takeIdle(now);
    for (const idle_upstream& it : neighbour.takeIdle(now))
        idle.push_back(it);
    REQUIRE(idle.size() == 3);
    for (const idle_upstream& it : idle) {
        INFO(it.id);
        CHECK(it.id != chosen.upstream->id);
        CHECK(it.idleFor == std::chrono::seconds(3));
        CHECK((it.failingProbability > 0.5) == (it.id == "u1"));
        CHECK((it.idempotentExcessCost > 1) == (it.id == "u1"));
    }
    CHECK(core.takeIdle(now).empty());
    CHECK(neighbour.takeIdle(now).empty());
    // The nearest data centre sends one of its requests there.
    dispatch_core other = coreOf("c", "d2");
    other.noteNotice(core.takeNotice(), now);
    other.noteNotice(neighbour.takeNotice(), now);
    CHECK(other.takeReport(now).wanted.size() == 3);
    for (int index = 0; index < 4; ++index) {
        const auto result = other.choose({ "orders", true, nullptr, std::chrono::seconds(2), std::chrono::milliseconds(600) }, now);
        REQUIRE(result.upstream);
        CHECK(result.isTrial == (index < 3));
    }
}

TEST_CASE("reports name only teams that moved of late, and lose none of their requests", "[dispatch]")
{
    serving_plan plan;
    plan.teams["shop"] = { "shop", 10, 100, std::nullopt };
    plan.teams["idle"] = { "idle", 10, 100, std::nullopt };
    dispatch_core sender = coreOf("a", "d1");
    dispatch_core neighbour = coreOf("b", "d1");
    instant now = begin;
    sender.adoptPlan(plan, now);
    std::uint64_t sequence = 0;
    const auto reportAfter = [&](unsigned requests, duration pause, bool isDelivered) {
        for (unsigned index = 0; index < requests; ++index)
            REQUIRE(sender.takeToken("shop", now));
        neighbour_report report = sender.takeReport(now);
        report.incarnation = 1;
        report.sequence = ++sequence;
        if (isDelivered)
            neighbour.noteReport(report, now);
        now += pause;
        return report;
    };
    // The neighbour hears the sender first while the team is still.
    reportAfter(3, std::chrono::seconds(5), false);
    CHECK(reportAfter(0, std::chrono::seconds(1), true).admitted.empty());
    neighbour.adoptPlan(plan, now);
    const duration before = neighbour.nextTokenIn("shop", now);
    CHECK(before == duration::zero());
    // One report of the new series is lost; the next one makes it good.
    reportAfter(20, std::chrono::milliseconds(100), false);
    const neighbour_report last = reportAfter(13, duration::zero(), true);
    REQUIRE(last.admitted.size() == 1);
    CHECK(last.admitted.at("shop") == admitted_count { 36, 3 });
    // A new host's bucket holds 30 tokens; 33 were admitted elsewhere.
    CHECK(neighbour.nextTokenIn("shop", now) > duration::zero());
}

} // namespace almondmoor
