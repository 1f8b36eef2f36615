// Decides whether a request gets room at a service that requests of several priorities
// share, so that a burst of less urgent requests does not delay the more urgent ones.
//
// Pattern of load: more requests than the upstreams of a service can process at once,
// most of them not the most urgent ones. Upstreams process requests in the order of
// their arrival, so an urgent request waits for everything that was sent before it. The
// only decision is therefore whether a request may be sent.
//
// A request may be sent only if the shortest expected wait for a slot is below the limit
// of its priority. The limit leaves the more urgent priorities time to respond within
// their target latency, and halves with each priority in between. Requests of the most
// urgent priority have no limit, and neither have those of a service that only one
// priority uses. A priority that has sent this host no request for a while needs no
// room, so the others use it. Free slots mean that nobody waits, and then all are sent.
//
// A refusal is only worth its cost if it helps a more urgent request. A priority therefore
// limits the less urgent ones only while it gets less room than they do: while fewer of
// its requests than of theirs are served within the target latency, by more than chance
// explains. Requests that failed for other reasons than lack of room don't count.
//
// Each less urgent priority is guaranteed a fraction of the share that all requests of
// the service get: a request that the limit would refuse is sent if the priority has
// fallen behind that fraction.
//
// Every host applies the same rule to the same facts, the requests in flight that the
// hosts of its data centre report, so no message is needed. A host that hears of too few
// neighbours does not know the wait and applies no limit.
//
// The class takes no lock and reads no clock.

#pragma once

#include "Core/core_time.h"
#include "Core/outcome.h"
#include "Core/serving_config.h"
#include "Core/upstream_health.h"

#include <map>
#include <optional>
#include <string>

namespace almondmoor {

// What this host knows about the room that a service has for a request.
struct service_room {
    // Slots and requests in flight at the usable upstreams of this data centre.
    unsigned slots = 0;
    unsigned inFlight = 0;
    // Shortest expected wait for a slot there; nothing if the data centre has no usable
    // upstream.
    std::optional<duration> wait;
    // Whether there is a usable upstream in another data centre.
    bool hasUpstreamElsewhere = false;
    // Average time in which the service responds.
    duration usualLatency {};
    // Hosts of this data centre that reported lately and all of its members; both counts
    // include this host.
    unsigned reportingHosts = 1;
    unsigned knownHosts = 1;
    // Age of the oldest report that the counts rest on.
    duration reportAge {};
};

struct admission_settings {
    // Fraction of the time that a more urgent request can spare for waiting which less
    // urgent ones may use. It applies once for each priority in between.
    double waitFraction = 0.5;
    // The same for a less urgent request that is sent again: it uses the room twice.
    double retryWaitFraction = 0.25;
    // Fraction of the share that all requests of a service get which is guaranteed to
    // each priority.
    double guaranteedFraction = 0.3;
    // A priority without a request for this long needs no room.
    duration demandWindow = std::chrono::seconds(10);
    // Time constant of the averages of requests.
    duration averageWindow = std::chrono::seconds(3);
    // Time constant of the shares of requests that are served in time, and the number of
    // recent requests from which on a share is known.
    duration outcomeWindow = std::chrono::seconds(8);
    double minOutcomes = 5;
    // Difference between the shares of two priorities from which on the more urgent one
    // gets less room.
    double minLag = 0.05;
    // Time constant with which the expected wait in other data centres falls without a new
    // response from there.
    duration elsewhereWindow = std::chrono::seconds(3);
};

enum class admission_decision {
    // No request that is more urgent needs the room.
    Unlimited,
    // The hosts of this data centre reported too little to tell.
    Unknown,
    // The wait is below the limit, here or in another data centre.
    WithinLimit,
    // The wait exceeds the limit, but the priority has had less than its guaranteed part.
    Guaranteed,
    // The room is left to more urgent requests. The request has not run.
    Refused
};

inline constexpr name_table<admission_decision, 5> admissionDecisionNames { {
    { admission_decision::Unlimited, "unlimited" },
    { admission_decision::Unknown, "unknown" },
    { admission_decision::WithinLimit, "within-limit" },
    { admission_decision::Guaranteed, "guaranteed" },
    { admission_decision::Refused, "refused" },
} };

struct admission_verdict {
    admission_decision decision = admission_decision::Unlimited;
    // The request may be sent only where the expected wait is at most this; nothing if
    // there is no limit.
    std::optional<duration> maxWait;
    // The limit that the decision used and what it was compared with, for the log.
    duration limit {};
    duration wait {};
    duration reportAge {};
    // For refusals: the expected time until the wait has fallen to the limit.
    duration timeUntilRoom {};

    bool isAdmitted() const { return decision != admission_decision::Refused; }
};

class priority_admission {
public:
    explicit priority_admission(admission_settings settings = {})
        : m_settings(settings)
    {
    }

    // Takes the priorities that use each service from a configuration. Counts of
    // priorities that are still in use are kept.
    void apply(const serving_config&);

    // Counts a request that has just arrived.
    void recordArrival(const std::string& service, unsigned priority, instant now);

    // Returns whether a more urgent request may need the room of a service.
    bool isLimited(const std::string& service, unsigned priority, instant now) const;

    // Decides about the first or a further attempt of a request.
    admission_verdict decide(const std::string& service, unsigned priority, bool isRetry, const service_room&, instant now) const;

    // Records whether a request was served within its target latency. Requests that were
    // neither served nor refused for lack of room must be left out.
    void recordOutcome(const std::string& service, unsigned priority, bool isWithinTarget, instant now);

    // Counts the first attempt of a request.
    void recordSent(const std::string& service, unsigned priority, instant now);

    // Records the result of an attempt at an upstream of another data centre.
    void recordElsewhere(const std::string& service, attempt_result, duration latency, duration usualLatency, instant now);

private:
    // A sum in which older events count less.
    struct decaying_sum {
        double value = 0;
        instant at = distantPast;

        double valueAt(instant now, duration window) const;
        void add(double amount, instant now, duration window);
    };
    struct priority_row {
        // Shortest target latency of the routes; zero if none has one.
        duration targetLatency {};
        instant lastArrivalAt = distantPast;
        // Requests that the limit may refuse but that must be sent: grows by the
        // guaranteed part with each arrival. Invariant: between 0 and maxGuarantee.
        double guarantee = 0;
        // Requests that ended, and those of them that were served within the target latency.
        decaying_sum ended;
        decaying_sum inTarget;
    };
    // A share that is estimated from a number of requests, and the variance of the estimate.
    struct served_share {
        double share = 0;
        double variance = 0;
    };
    struct service_row {
        // By priority, the most urgent first.
        std::map<unsigned, priority_row> priorities;
        decaying_sum arrived;
        decaying_sum sent;
        // Responses from other data centres, and the seconds that they took longer than usual.
        decaying_sum responsesElsewhere;
        decaying_sum delaysElsewhere;
    };

    // Returns the share of a priority's requests that are served within the target latency;
    // nothing if too few have ended lately.
    std::optional<served_share> shareInTarget(const priority_row&, instant now) const;
    // Returns whether a priority has requests and gets less room than a less urgent one.
    bool getsLessRoom(const priority_row& moreUrgent, const priority_row& lessUrgent, instant now) const;
    // Returns the longest wait with which a request of a priority may be sent; nothing if
    // there is no limit.
    std::optional<duration> limitOf(const service_row&, unsigned priority, bool isRetry, duration usualLatency, instant now) const;
    // Returns the expected wait for a slot in other data centres.
    duration waitElsewhere(const service_row&, instant now) const;

    admission_settings m_settings;
    std::map<std::string, service_row, std::less<>> m_services;
};

} // namespace almondmoor
