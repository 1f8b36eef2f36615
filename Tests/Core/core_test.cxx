// Small parts of the core: the progress of a request, budgets, queues, freshness.

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

TEST_CASE("an outcome claims no more than the attempts allow", "[outcome]")
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

TEST_CASE("a repeatable request may be tried again until it is answered", "[outcome]")
{
    request_progress check(true);
    check.markSent(check.beginAttempt("a"));
    check.markLost(1);
    CHECK(check.canBeginAttempt());
    check.markSent(check.beginAttempt("b"));
    check.markResponded(2);
    CHECK(check.currentOutcome() == outcome::Ran);
    CHECK_FALSE(check.canBeginAttempt());
}

TEST_CASE("a total outage is not multiplied by more than the budget", "[retry]")
{
    const auto hasBudget = GENERATE(true, false);
    retry_budget budget({ .ratio = 0.1 });
    unsigned attempts = 0;
    constexpr unsigned requests = 4'000;
    for (unsigned number = 0; number < requests; ++number) {
        budget.recordFirstAttempt("refills");
        ++attempts;
        // Every attempt fails, and up to three more are wanted.
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

TEST_CASE("scarce slots go to teams by weight, whoever sends more or slower requests", "[fair]")
{
    struct fair_case {
        const char* name;
        unsigned aggressorArrivals;
        duration aggressorTime;
    };
    const auto it = GENERATE(fair_case { "five times the requests", 5, 20ms }, fair_case { "requests five times as slow", 1, 100ms });
    const auto seed = GENERATE(1U, 2U, 3U, 4U, 5U);
    INFO(it.name);
    // Four slots of 20 ms serve 200/s. The modest team asks for 60/s, the
    // aggressor for as much as fills all slots.
    fair_queue queue({});
    std::mt19937_64 random(seed);
    struct running {
        instant until;
        bool isAggressor;
    };
    std::vector<running> slots;
    std::map<queue_ticket, bool> waiting;
    queue_ticket ticket = 0;
    unsigned modestOffered = 0;
    unsigned modestServed = 0;
    std::bernoulli_distribution modestArrives(0.06);
    std::bernoulli_distribution aggressorArrives(std::min(1.0, 0.06 * it.aggressorArrivals));
    for (instant now = start; now < start + 60s; now += 1ms) {
        std::erase_if(slots, [&](const running& slot) {
            if (slot.until > now)
                return false;
            queue.release(slot.isAggressor ? "aggressor" : "modest", slot.isAggressor ? it.aggressorTime : 20ms);
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
            slots.push_back({ now + (isAggressor ? it.aggressorTime : 20ms), isAggressor });
        }
    }
    CHECK(static_cast<double>(modestServed) >= 0.98 * modestOffered);
}

TEST_CASE("evidence of freshness is what its proof needs", "[freshness]")
{
    configuration held;
    config_version version = 0;
    for (const char* name : { "a", "b", "c" })
        REQUIRE(held.apply(change { "c", ++version, "t", 0, std::string("join host ") + name + " incarnation 1 at 10.0.0.1:1 in lagos-1" }).ok());
    freshness evidence({ .ttl = 3s });
    const instant now = start + 100s;
    CHECK_FALSE(evidence.isFresh(held, "a", 1, now));
    evidence.recordStoreRead(now - 2s, 3);
    CHECK(evidence.isFresh(held, "a", 1, now));
    CHECK_FALSE(evidence.isFresh(held, "a", 1, now + 2s));
    // A newer head makes the same read worthless until the host catches up.
    evidence.recordStoreRead(now - 1s, 4);
    CHECK_FALSE(evidence.isFresh(held, "a", 1, now));
    // One more host makes a majority of three, unless it is ahead or outdated.
    evidence.recordVersionReport({ "b", 1, 4, now });
    CHECK_FALSE(evidence.isFresh(held, "a", 1, now));
    evidence.recordVersionReport({ "c", 0, 3, now });
    CHECK_FALSE(evidence.isFresh(held, "a", 1, now));
    evidence.recordVersionReport({ "c", 1, 3, now - 1s });
    CHECK(evidence.isFresh(held, "a", 1, now));
    // An older incarnation of this host itself does not count.
    CHECK_FALSE(evidence.isFresh(held, "a", 2, now));
}

TEST_CASE("racing operators and lost answers leave one true log", "[config]")
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
    CHECK(log.versionOf("id-3").value == 0);
    const auto found = log.readAfter(0);
    CHECK(found.value.head == 1);
    CHECK(found.value.changes.size() == 1);
}

TEST_CASE("one claim wins whatever answers are lost", "[claims]")
{
    memory_platform platform;
    claim_table<memory_platform> claims(platform);
    platform.setFaults({ false, 1 });
    CHECK(claims.claim("pay-1", "first") == claim_outcome::Claimed);
    CHECK(claims.claim("pay-1", "second") == claim_outcome::Taken);
    platform.setFaults({ true, 0 });
    CHECK(claims.claim("pay-2", "first") == claim_outcome::Unavailable);
    platform.setFaults({});
    // Only the attempt that holds a claim can give it up.
    CHECK(claims.release("pay-1", "second"));
    CHECK(claims.claim("pay-1", "third") == claim_outcome::Taken);
    CHECK(claims.release("pay-1", "first"));
    CHECK(claims.claim("pay-1", "third") == claim_outcome::Claimed);
}

} // namespace almondmoor
