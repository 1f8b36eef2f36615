// What one host decides about requests: admission, queuing, routing, retries.
//
// The class has no lock of its own. A host guards it with one mutex and calls
// it from its traffic threads and, once a tick, from its control thread.

#pragma once

#include "Core/allowance.h"
#include "Core/crash_quarantine.h"
#include "Core/fair_queue.h"
#include "Core/gray_router.h"
#include "Core/outcome.h"
#include "Core/retry_budget.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace almondmoor {

struct traffic_settings {
    allowance_settings allowance;
    fair_queue_settings queue;
    health_settings health;
    router_settings router;
    retry_budget_settings budget;
    crash_quarantine_settings quarantine;
};

// How a team's request stands with the team's rate.
enum class admission {
    Admitted,
    // No token is here; one may come from the team's home.
    Waiting
};

// What a request asks of the retry rules.
struct retry_question {
    std::string team;
    std::string service;
    bool repeatable = false;
    bool mayHaveRun = false;
    std::uint64_t fingerprint = 0;
    instant deadline;
};

// A free slot given to a waiting request.
struct slot_grant {
    queue_ticket ticket = 0;
    std::string upstream;
};

class traffic_core {
public:
    traffic_core(const traffic_settings&, std::string host, std::string dataCentre, std::uint64_t seed);

    // Follows a newer configuration.
    void adopt(std::shared_ptr<const configuration>, bool wasFresh, bool isMember, instant now);

    // Keyed routes are served up to this instant, unless it is moved on.
    void setFreshUntil(instant until) { m_freshUntil = until; }
    bool isFresh(instant now) const { return now <= m_freshUntil; }

    // Counts a new request of a team and takes a token for it if there is one.
    admission admit(const std::string& team, instant now);

    // Takes a token for a request that waits.
    bool admitWaiting(const std::string& team, instant now);

    // Ends the wait of a request for a token.
    void stopWaiting(const std::string& team);

    // Gives back the token of a request that was not run.
    void putBack(const std::string& team, instant now) { m_holder.putBack(team, now); }

    // Queues a request for a slot of a service. Returns false if the queue is full.
    bool enqueue(const std::string& service, const std::string& team, queue_ticket, instant now);

    // Takes a request that waits no longer out of the queue. Returns false if
    // it had been granted a slot meanwhile.
    bool cancelQueued(const std::string& service, const std::string& team, queue_ticket);

    // Grants free slots of a service to waiting requests, in their fair order,
    // each with the upstream chosen for its first attempt.
    std::vector<slot_grant> grantSlots(const std::string& service, instant now);

    // Gives back the slot of a request.
    void releaseSlot(const std::string& service, const std::string& team, duration slotTime);

    // Chooses an upstream for a further attempt of a request.
    std::optional<std::string> pick(const std::string& service, const std::set<std::string>& tried, instant now);

    bool takesNewWork(const std::string& upstream) const { return m_router.acceptsNewRequests(upstream); }

    // Gives up a chosen upstream to which nothing was sent.
    void unpick(const std::string& upstream) { m_router.cancelPick(upstream); }

    // Ends an attempt and takes in its evidence, here and for the other hosts.
    void finishAttempt(const attempt_sample&, instant now);

    // Counts a first attempt towards the retry budgets.
    void noteFirstAttempt(const std::string& team, const std::string& service);

    // Returns nothing if the retry is granted, and takes it from the budgets;
    // otherwise the reason for which it is denied.
    std::optional<retry_reason> denyRetry(const retry_question&, instant now);

    bool isQuarantined(std::uint64_t fingerprint, instant now) const { return m_quarantine.isQuarantined(fingerprint, now); }

    // Takes in what another host saw.
    void noteRemote(const std::string& host, const std::string& dataCentre, const attempt_sample&, instant now);

    std::vector<health_transition> tick(instant now);

    // Returns the samples seen here since the last call, equal ones merged.
    std::vector<attempt_sample> takeSamples();

    allowance_holder& holder() { return m_holder; }
    const gray_router& router() const { return m_router; }
    std::shared_ptr<const configuration> held() const { return m_held; }
    std::size_t queued(const std::string& service) const;

private:
    std::string m_host;
    std::string m_dataCentre;
    traffic_settings m_settings;
    std::shared_ptr<const configuration> m_held;
    instant m_freshUntil = distantPast;
    allowance_holder m_holder;
    std::map<std::string, unsigned> m_waitingForTokens;
    std::map<std::string, fair_queue> m_queues;
    gray_router m_router;
    retry_budget m_teamBudget;
    retry_budget m_serviceBudget;
    crash_quarantine m_quarantine;
    std::vector<attempt_sample> m_samples;
    std::mt19937_64 m_random;
};

} // namespace almondmoor
