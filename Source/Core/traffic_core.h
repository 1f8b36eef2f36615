// The decisions of one host about requests: admission, queuing, routing, retries.
//
// traffic_core does no locking. A host guards it with one mutex and calls it
// from its traffic threads and, once per tick, from its control thread.

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

// Result of checking a request against its team's rate.
enum class admission {
    Admitted,
    // This host has no token for the request; the team's home may grant one.
    Waiting
};

// The data that decides whether a request may be retried.
struct retry_request {
    std::string team;
    std::string service;
    bool idempotent = false;
    // True if an upstream may have run the request in an earlier attempt.
    bool mayHaveRun = false;
    std::uint64_t fingerprint = 0;
    instant deadline;
};

// A free slot that is granted to a waiting request.
struct slot_grant {
    queue_ticket ticket = 0;
    std::string upstream;
};

class traffic_core {
public:
    traffic_core(const traffic_settings&, std::string host, std::string dataCentre, std::uint64_t seed);

    // Applies a newer configuration.
    void applyConfiguration(std::shared_ptr<const configuration>, bool wasFresh, bool isMember, instant now);

    // Sets the instant until which this host serves keyed routes. A later call
    // replaces the value.
    void setFreshUntil(instant until) { m_freshUntil = until; }
    bool isFresh(instant now) const { return now <= m_freshUntil; }

    // Counts a new request of a team and takes a token for it. If there is none,
    // or other requests of the team wait, the request must wait for a token.
    admission admit(const std::string& team, instant now);

    // Takes a token for a waiting request. Returns false if there is none.
    bool admitWaiting(const std::string& team, instant now);

    // Ends the wait of one request for a token, whether it got one or not.
    void stopWaiting(const std::string& team);

    // Puts back the token of a request that was not run.
    void returnToken(const std::string& team, instant now) { m_holder.returnToken(team, now); }

    // Queues a request for a slot of a service. Returns false if the queue is full.
    bool enqueue(const std::string& service, const std::string& team, queue_ticket, instant now);

    // Removes a waiting request from the queue. Returns false if it has already
    // been granted a slot.
    bool cancelQueued(const std::string& service, const std::string& team, queue_ticket);

    // Grants free slots of a service to waiting requests in the order of the fair
    // queue, and chooses an upstream for the first attempt of each.
    std::vector<slot_grant> grantSlots(const std::string& service, instant now);

    // Releases the slot of a request.
    void releaseSlot(const std::string& service, const std::string& team, duration slotTime);

    // Chooses an upstream for a further attempt of a request.
    std::optional<std::string> pick(const std::string& service, const std::set<std::string>& tried, instant now);

    bool acceptsNewRequests(const std::string& upstream) const { return m_router.acceptsNewRequests(upstream); }

    // Cancels the choice of an upstream to which nothing was sent.
    void cancelPick(const std::string& upstream) { m_router.cancelPick(upstream); }

    // Ends an attempt, records its result here and keeps the sample for the
    // other hosts, see takeSamples().
    void finishAttempt(const attempt_sample&, instant now);

    // Counts a first attempt towards the retry budgets.
    void recordFirstAttempt(const std::string& team, const std::string& service);

    // Decides whether a request may be retried. Takes a granted retry from the
    // budgets and returns nothing; otherwise returns the reason for the denial.
    std::optional<retry_reason> requestRetry(const retry_request&, instant now);

    bool isQuarantined(std::uint64_t fingerprint, instant now) const { return m_quarantine.isQuarantined(fingerprint, now); }

    // Returns the requests that are refused since they crashed upstreams, for the other hosts.
    std::vector<quarantined_request> quarantinedRequests(instant now) const { return m_quarantine.quarantinedRequests(now); }

    // Records a request that another host refuses.
    void recordRemoteQuarantine(const quarantined_request& it, instant now) { m_quarantine.recordQuarantine(it, now); }

    // Records the result of an attempt of another host.
    void recordRemoteSample(const std::string& host, const std::string& dataCentre, const attempt_sample&, instant now);

    std::vector<health_transition> tick(instant now);

    // Returns and clears the samples of this host's attempts. Equal samples are
    // merged and counted.
    std::vector<attempt_sample> takeSamples();

    allowance_holder& holder() { return m_holder; }
    const gray_router& router() const { return m_router; }
    std::shared_ptr<const configuration> currentConfiguration() const { return m_configuration; }
    // Returns the number of requests that wait for a slot of a service.
    std::size_t queueLength(const std::string& service) const;

private:
    std::string m_host;
    std::string m_dataCentre;
    traffic_settings m_settings;
    std::shared_ptr<const configuration> m_configuration;
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
