// Decides whether a request finds out about an upstream that was not used for a while.
//
// An estimate is only corrected by using the upstream, so estimates alone must not decide
// whether an upstream is used. A trial request becomes due for an upstream that no host of
// its data centre has used for an interval. The hosts take staggered turns, so that one of
// them makes the trial for all.
//
// A trial costs the caller a retry, or the request itself if it cannot be repeated. What is
// learned helps later requests only if they need more upstreams than those known to be
// healthy. Requests that can be repeated therefore make every trial that is due. Requests
// that cannot be repeated make it if it costs them hardly more than the best upstream, or
// while the service needs it, that is while:
// - the service loses or refuses requests other than those that made trials, and
// - too few of the upstreams that are probably healthy were used recently.
// They begin with the upstreams that are most probably healthy. An upstream that is
// probably failing gets few such requests in one bad spell, at doubling intervals. The most
// urgent requests of a service leave trials to the less urgent ones for a while.
//
// The class has no lock and no clock: callers serialize access and pass the time.

#pragma once

#include "Core/core_time.h"
#include "Core/name_table.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace almondmoor {

struct trial_settings {
    // Time from the last request that any host of this data centre sent to an upstream
    // there until a trial is due: for a request that can be repeated, and for one that
    // cannot. Each bad result in a row doubles the interval up to the maximum.
    duration idempotentInterval = std::chrono::milliseconds(600);
    duration otherInterval = std::chrono::milliseconds(1000);
    duration maxInterval = std::chrono::seconds(4);
    // Minimum interval between requests that cannot be repeated to an upstream that is
    // probably failing, and the probability from which on it is. Each failed trial doubles
    // the interval up to the maximum.
    duration failingInterval = std::chrono::seconds(2);
    duration maxFailingInterval = std::chrono::seconds(8);
    double failingProbability = 0.5;
    // Failed trials of one bad spell after which no more requests that cannot be repeated
    // are sent to an upstream that is probably failing.
    unsigned maxFailedTrials = 3;
    // Additional cost of a trial up to which a request makes it although its service needs
    // none, as a fraction of the target latency. Such trials spread the load.
    double maxFreeCost = 0.1;
    // Fraction of recently lost requests from which on a service needs trials. Requests that
    // made trials themselves don't count.
    double minLossShare = 0.05;
    // Time constant with which the counts of lost requests decay.
    duration lossWindow = std::chrono::seconds(3);
    // Fraction of the upstreams expected to be healthy that should be used within the
    // coverage window.
    double minCoverage = 0.8;
    duration coverageWindow = std::chrono::milliseconds(1500);
    // Time for which the most urgent requests of a service leave a due trial to others, and
    // the time for which a less urgent request shows that there are others.
    duration urgentDelay = std::chrono::milliseconds(300);
    duration lessUrgentTtl = std::chrono::seconds(2);
    // Time in which each host of a data centre has one turn at a due trial.
    duration staggerTime = std::chrono::milliseconds(400);
    // An upstream is idle if no host of its data centre has made the trial by this time
    // after the last turn. Other data centres are then asked to make it.
    duration idleMargin = std::chrono::milliseconds(100);
    // Another data centre's request for a trial expires after this time.
    duration requestTtl = std::chrono::seconds(1);
};

// What a host knows of an upstream for which a trial may be due.
struct trial_candidate {
    // Time since the last known use by a host of this data centre.
    duration unusedTime {};
    // Time since the upstream's own data centre asked for a trial, if it is another one and
    // its request has neither expired nor been met.
    std::optional<duration> requestedFor = std::nullopt;
    bool isSameDataCentre = true;
    double failingProbability = 0;
    // Cost by which a request to it exceeds one to the best upstream, as a fraction of the
    // target latency.
    double excessCost = 0;
    // Bad results in a row, and trials that failed in the current bad spell.
    unsigned badResults = 0;
    unsigned failedTrials = 0;
    unsigned inFlight = 0;
    unsigned slots = 1;
    // Number of hosts of the data centre, and of those whose turn comes before this host's.
    // The latter matters only once a trial is due.
    unsigned hosts = 1;
    unsigned rank = 0;
};

// The kind of request that may be a trial, and how well its service is served.
struct trial_request {
    bool canRetry = false;
    // Whether less urgent requests of the service could make the trial.
    bool isMostUrgent = false;
    // Fraction of the recent requests for the service that were not served.
    double lossShare = 0;
};

// Why a request did not make a trial that is due.
enum class trial_denial {
    // The service loses few requests.
    FewLosses,
    // Enough of the healthy upstreams are in use.
    Covered,
    // The upstream has failed as many trials as one bad spell allows.
    TooManyFailures,
    // A less urgent request is expected to make it.
    MoreUrgent
};

inline constexpr name_table<trial_denial, 4> trialDenialNames { {
    { trial_denial::FewLosses, "few_losses" },
    { trial_denial::Covered, "covered" },
    { trial_denial::TooManyFailures, "too_many_failures" },
    { trial_denial::MoreUrgent, "more_urgent" },
} };

// Estimates which fraction of the healthy upstreams of a service are in use, from all of
// those of one data centre.
class coverage_estimate {
public:
    void add(double failingProbability, bool isUsed)
    {
        m_healthy += 1 - failingProbability;
        m_used += isUsed ? 1 - failingProbability : 0;
    }

    // Returns 1 if there are no upstreams.
    double fraction() const { return m_healthy > 0 ? m_used / m_healthy : 1; }

private:
    // Expected number of healthy upstreams, and of those that are used.
    double m_healthy = 0;
    double m_used = 0;
};

class trial_policy {
public:
    explicit trial_policy(const trial_settings& settings)
        : m_settings(settings)
    {
    }

    const trial_settings& settings() const { return m_settings; }

    // Records that a service got a request of a priority; 0 is the most urgent. Returns
    // whether less urgent requests for the service came recently.
    bool recordPriority(const std::string& service, unsigned priority, instant now);

    // Returns the time from the last use until a trial is due.
    duration interval(const trial_candidate&, bool canRetry) const;

    // Returns whether a trial is due, whichever host is on turn.
    bool isDue(const trial_candidate&, const trial_request&) const;

    // Returns how long a trial by this host has been due; nothing if none is due or another
    // host is on turn.
    std::optional<duration> overdueTime(const trial_candidate&, const trial_request&) const;

    // Returns why a request must not make a trial that is due, or nothing if it may.
    std::optional<trial_denial> denial(const trial_candidate&, const trial_request&, double coverage, duration overdueTime) const;

    // Returns whether other data centres should be asked for the trial.
    bool isIdle(const trial_candidate&) const;

    // Returns whether a bad result belongs to a trial of an upstream that was already
    // failing, given the time since the upstream's previous result.
    bool isFailedTrial(double previousProbability, duration sincePreviousResult) const
    {
        return previousProbability >= m_settings.failingProbability && sincePreviousResult >= m_settings.otherInterval;
    }

private:
    struct priority_row {
        unsigned leastUrgent = 0;
        instant at = distantPast;
    };

    // Returns whether this host may make a trial that has been due for a time. The turns
    // rotate over the hosts, and at one instant as many hosts are on turn as the upstream
    // may get trials at once. So the hosts do not overload it even if they all choose at
    // one instant without having heard of each other.
    bool isOnTurn(const trial_candidate&, duration overdueTime) const;
    bool isProbablyFailing(const trial_candidate& it) const { return it.failingProbability >= m_settings.failingProbability; }

    trial_settings m_settings;
    std::map<std::string, priority_row> m_priorities;
};

} // namespace almondmoor
