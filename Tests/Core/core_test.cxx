// Tests of smaller parts: request progress, the retry budget, the fair queue, freshness, the change log, and claims.

#include "Core/fair_queue.h"
#include "Core/freshness.h"
#include "Core/request_progress.h"
#include "Core/retry_budget.h"
#include "Platform/change_log.h"
#include "Platform/claim_table.h"
#include "Platform/memory_platform.h"

#include <catch2/catch.hpp>
#include <random>

namespace almondmoor {

namespace {

    using namespace std::chrono_literals;

    constexpr instant start { 1h };

} // namespace

TEST_CASE("the outcome of a request claims no more than its attempts prove", "[outcome]")
{
    request_progress payment(false);
    CHECK(payment.currentOutcome() == outcome::NotRun);
    const unsigned first = payment.beginAttempt("a");
    CHECK_FALSE(payment.canBeginAttempt());
    payment.markNotStarted(first, false);
    CHECK(payment.canBeginAttempt());
    const unsigned second = payment.beginAttempt("b");
    payment.markSent(second);
    CHECK(payment.currentOutcome() == outcome::Unknown);
    CHECK_THROWS_AS(payment.markNotStarted(second, false), std::logic_error);
    payment.markLost(second);
    CHECK(payment.currentOutcome() == outcome::Unknown);
    CHECK_FALSE(payment.canBeginAttempt());
    CHECK_THROWS_AS(payment.beginAttempt("c"), std::logic_error);
    CHECK_THROWS_AS(payment.markResponded(first), std::logic_error);
}

TEST_CASE("an idempotent request can be retried until it is answered", "[outcome]")
{
    request_progress request(true);
    request.markSent(request.beginAttempt("a"));
    request.markLost(1);
    CHECK(request.canBeginAttempt());
    request.markSent(request.beginAttempt("b"));
    request.markResponded(2);
    CHECK(request.currentOutcome() == outcome::Ran);
    CHECK_FALSE(request.canBeginAttempt());
}

TEST_CASE("the retry budget bounds the number of attempts in a total outage", "[retry]")
{
    const auto hasBudget = GENERATE(true, false);
    retry_budget budget({ .ratio = 0.1 });
    unsigned attempts = 0;
    constexpr unsigned requests = 4'000;
    for (unsigned number = 0; number < requests; ++number) {
        budget.recordFirstAttempt("refills");
        ++attempts;
        // Every attempt fails, and each request is retried up to three times.
        for (unsigned retry = 0; retry < 3; ++retry) {
            if (hasBudget && !budget.canRetry("refills"))
                break;
            budget.takeRetry("refills");
            ++attempts;
        }
    }
    const double amplification = static_cast<double>(attempts) / requests;
    if (hasBudget)
        CHECK(amplification <= 1.1 + 1.0 / requests);
    else
        CHECK(amplification == 4);
}

TEST_CASE("a modest team gets its slots beside a team with more or slower requests", "[fair]")
{
    struct fair_case {
        const char* name;
        unsigned aggressorArrivalFactor;
        duration aggressorSlotTime;
    };
    const auto testCase = GENERATE(fair_case { "five times the requests", 5, 20ms }, fair_case { "requests five times as slow", 1, 100ms });
    const auto seed = GENERATE(1U, 2U, 3U, 4U, 5U);
    INFO(testCase.name);
    // Four slots with 20 ms per request serve 200 requests per second. The modest team sends 60 per second, the
    // aggressor enough to keep all slots busy.
    fair_queue queue({});
    std::mt19937_64 random(seed);
    struct busy_slot {
        instant until;
        bool isAggressor;
    };
    std::vector<busy_slot> slots;
    std::map<queue_ticket, bool> waiting;
    queue_ticket ticket = 0;
    unsigned modestOffered = 0;
    unsigned modestServed = 0;
    std::bernoulli_distribution modestArrives(0.06);
    std::bernoulli_distribution aggressorArrives(std::min(1.0, 0.06 * testCase.aggressorArrivalFactor));
    for (instant now = start; now < start + 60s; now += 1ms) {
        std::erase_if(slots, [&](const busy_slot& slot) {
            if (slot.until > now)
                return false;
            queue.release(slot.isAggressor ? "aggressor" : "modest", slot.isAggressor ? testCase.aggressorSlotTime : 20ms);
            return true;
        });
        if (modestArrives(random) && now < start + 58s) {
            ++modestOffered;
            if (queue.enqueue("modest", 1, ++ticket, now))
                waiting[ticket] = false;
        }
        if (aggressorArrives(random) && queue.enqueue("aggressor", 1, ++ticket, now))
            waiting[ticket] = true;
        while (const auto next = queue.next(4 - static_cast<unsigned>(slots.size()), now)) {
            const bool isAggressor = waiting.at(*next);
            modestServed += isAggressor ? 0 : 1;
            slots.push_back({ now + (isAggressor ? testCase.aggressorSlotTime : 20ms), isAggressor });
        }
    }
    CHECK(static_cast<double>(modestServed) >= 0.98 * modestOffered);
}

TEST_CASE("a host is fresh only by a recent store read or by reports of a majority", "[freshness]")
{
    configuration held;
    config_version version = 0;
    for (const char* name : { "a", "b", "c" })
        REQUIRE(held.apply(change { "c", ++version, "t", 0, std::string("join host ") + name + " incarnation 1 at 10.0.0.1:1 in lagos-1" }).ok());
    freshness hostFreshness({ .ttl = 3s });
    const instant now = start + 100s;
    CHECK_FALSE(hostFreshness.isFresh(held, "a", 1, now));
    hostFreshness.recordStoreRead(now - 2s, 3);
    CHECK(hostFreshness.isFresh(held, "a", 1, now));
    CHECK_FALSE(hostFreshness.isFresh(held, "a", 1, now + 2s));
    // A store read that finds a newer head does not make the host fresh until the host holds that version.
    hostFreshness.recordStoreRead(now - 1s, 4);
    CHECK_FALSE(hostFreshness.isFresh(held, "a", 1, now));
    // This host and one other are a majority of three. The report of the other host does not count if its version is
    // newer than the held one, or if it is from an older incarnation.
    hostFreshness.recordVersionReport({ "b", 1, 4, now });
    CHECK_FALSE(hostFreshness.isFresh(held, "a", 1, now));
    hostFreshness.recordVersionReport({ "c", 0, 3, now });
    CHECK_FALSE(hostFreshness.isFresh(held, "a", 1, now));
    hostFreshness.recordVersionReport({ "c", 1, 3, now - 1s });
    CHECK(hostFreshness.isFresh(held, "a", 1, now));
    // This host itself does not count if the membership holds another incarnation of it.
    CHECK_FALSE(hostFreshness.isFresh(held, "a", 2, now));
}

TEST_CASE("the change log keeps one of two racing changes when responses are lost", "[config]")
{
    memory_platform platform;
    change_log<memory_platform> log(platform);
    const change mine { "id-1", 1, "ann", 0, "create service a" };
    const change rival { "id-2", 1, "bob", 0, "create service b" };
    platform.setFaults({ false, 1 });
    CHECK(log.append(mine).outcome == append_outcome::Accepted);
    CHECK(log.append(rival).outcome == append_outcome::Conflict);
    CHECK(log.append(mine).version == 1);
    platform.setFaults({ true, 0 });
    CHECK(log.append({ "id-3", 2, "ann", 0, "create service c" }).outcome == append_outcome::Unavailable);
    platform.setFaults({});
    CHECK(log.acceptedVersionOf("id-3").value == 0);
    const auto found = log.readAfter(0);
    CHECK(found.value.head == 1);
    CHECK(found.value.changes.size() == 1);
}

TEST_CASE("exactly one attempt holds a claim when responses are lost", "[claims]")
{
    memory_platform platform;
    claim_table<memory_platform> claims(platform);
    platform.setFaults({ false, 1 });
    CHECK(claims.claim("pay-1", "first") == claim_outcome::Claimed);
    CHECK(claims.claim("pay-1", "second") == claim_outcome::Taken);
    platform.setFaults({ true, 0 });
    CHECK(claims.claim("pay-2", "first") == claim_outcome::Unavailable);
    platform.setFaults({});
    // Only the attempt that holds a claim can release it.
    CHECK(claims.release("pay-1", "second"));
    CHECK(claims.claim("pay-1", "third") == claim_outcome::Taken);
    CHECK(claims.release("pay-1", "first"));
    CHECK(claims.claim("pay-1", "third") == claim_outcome::Claimed);
}

} // namespace almondmoor
