// Chooses the upstream with the lowest expected cost for a request.
//
// The expected cost of an upstream is measured in seconds. It is the sum of the
// expected time in its queue, its expected latency, a charge for the distance, and
// the cost of a failure weighted by the probability that the upstream is failing.
//
// That probability follows Bayes' rule over a model with two states, healthy and
// failing. Each result of a request moves it by the likelihood of that result in
// either state. Without results it decays to the fraction of the upstreams of its service
// that are failing now. That fraction is estimated from the upstreams with recent results,
// beginning from the steady state of the model. An upstream that was not used
// for a while is therefore less certain to be healthy than one that has just served a
// request. Requests that are not idempotent prefer recently used upstreams; idempotent
// requests can be sent again, so they probe upstreams that were not used for a while.
//
// Hosts of one data centre report to each other the requests that they have in flight
// and the results, so that they do not overload an upstream together and all learn of
// a failing one. Failures are reported to the other data centres too. Hosts with the
// same information would all choose the same upstream and overload it. Each host
// therefore adds a small cost by its own order of preference among upstreams. It also
// deducts a bonus that grows with the time since it last used an upstream itself.
//
// An estimate is only corrected by using the upstream, so estimates alone must not
// decide whether an upstream is used. trial_policy decides which requests find out about
// upstreams that no host of their data centre has used for a while. If none of its hosts
// has such a request, they ask other data centres to make the trial.
//
// The class has no lock and no clock: callers serialize access and pass the time.

#pragma once

#include "Core/cold_admission.h"
#include "Core/core_time.h"
#include "Core/latency_model.h"
#include "Core/priority_admission.h"
#include "Core/region_limit.h"
#include "Core/service_losses.h"
#include "Core/trial_policy.h"
#include "Core/upstream_announcements.h"
#include "Core/upstream_directory.h"
#include "Core/upstream_health.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace almondmoor {

// How often upstreams start and stop failing, and the likelihood of each result of a
// request in either state.
struct failure_model {
    // Transitions per second.
    double onsetRate = 0.02;
    double recoveryRate = 0.12;
    // Probability of each result while the upstream is failing or healthy. "Lost" is
    // attempt_result::Crashed and "error" is attempt_result::Failed.
    double lostWhileFailing = 0.85;
    double lostWhileHealthy = 0.003;
    double errorWhileFailing = 0.4;
    double errorWhileHealthy = 0.015;
    double goodWhileFailing = 0.2;
    double goodWhileHealthy = 0.98;
};

struct choice_settings {
    failure_model failures;
    // Latency that is assumed for a service before its first response.
    duration initialLatency = std::chrono::milliseconds(150);
    // Costs of crossing to another data centre or region, as fractions of the target
    // latency. Such links are billed.
    double sameRegionCost = 0.2;
    double otherRegionCost = 0.6;
    // Cost of a failure that cannot be retried, as a multiple of the target latency.
    double failureCost = 2.5;
    // Cost of retrying an idempotent request, in addition to the time that the failed
    // attempt took.
    duration retryCost = std::chrono::milliseconds(200);
    // Deduction from the cost of an upstream of this data centre for each second in
    // which this host did not use it, up to a maximum number of seconds. It lets this
    // host sample every such upstream and keeps none idle.
    duration explorationBonusPerSecond = std::chrono::milliseconds(200);
    duration maxExplorationTime = std::chrono::milliseconds(2500);
    // Cost of an upstream that shed a request within the last shedTtl.
    duration shedCost = std::chrono::milliseconds(300);
    duration shedTtl = std::chrono::milliseconds(300);
    // Weight of a new latency in the moving average of an upstream.
    double latencyWeight = 0.2;
    // Time constant with which the average latency of an unused upstream decays to that
    // of its service.
    duration latencyWindow = std::chrono::seconds(8);
    // Additional latency of an upstream whose slots are all busy, as a fraction of its
    // latency; proportional to the busy slots. Upstreams slow down when nearly full.
    double occupancyCost = 0.25;
    // Factor on the latency of an upstream that has just started.
    double coldFactor = 2;
    // Upper limit of a random cost, as a fraction of the usual latency of the service.
    // It keeps hosts from choosing the same upstream.
    double jitter = 0.1;
    // Cost of the upstream that comes last in this host's order of preference, as a
    // fraction of that upstream's latency. Each host has another order, so that hosts
    // with the same information do not choose the same upstream.
    double preferenceCost = 0.4;
    // A good response is reported to the neighbours only if the upstream was failing
    // with at least this probability, or if its latency is at least this multiple of
    // the usual latency, or if the upstream's average latency is at least that multiple.
    // If all good responses were reported, all hosts would overload the upstreams that
    // gave the latest ones.
    double suspectProbability = 0.1;
    double slowResponseFactor = 4;
    double slowUpstreamFactor = 2;
    // Time for which this host avoids an upstream that it cannot connect to. It doubles
    // with each further failure to connect.
    duration initialAvoidanceTime = std::chrono::milliseconds(500);
    duration maxAvoidanceTime = std::chrono::seconds(4);
    // A neighbour's report of its requests in flight expires after this time.
    duration inFlightTtl = std::chrono::milliseconds(1500);
    trial_settings trials;
    // Fraction of an upstream's slots from which on each further busy slot should be
    // reported to the neighbours at once.
    double busyFraction = 0.99;
    // Requests that may be queued at an upstream for each of its slots.
    double maxQueuePerSlot = 3;
};

// A request that needs an upstream.
struct choice_query {
    std::string service;
    // Whether the request could be sent again after a failure.
    bool canRetry = false;
    // Ids of the upstreams that the request was already sent to; may be null.
    const std::set<std::string>* tried = nullptr;
    // Time left until the response must arrive.
    duration timeLeft {};
    // Time within which a response has its full value. Costs are relative to it.
    duration targetLatency {};
    // Name of the request's route; empty if it has none.
    std::string route = {};
    // Rank among requests that compete for capacity; 0 goes first.
    unsigned priority = 0;
    // Regions in which the request may be served; null allows all.
    const region_limit* homes = nullptr;
    // Longest expected wait for a slot with which the request may be sent; nothing if
    // there is no limit.
    std::optional<duration> maxWait = {};
    // Fraction of the recent requests for the service that were not served.
    double lossShare = 0;
};

// Why no upstream was chosen.
enum class choice_refusal {
    // None is known, or all of them are leaving.
    NoUpstream,
    // All of them have full queues, want a pause or are expected to respond too late.
    NoCapacity,
    // There are some, but none of them in a region in which the request may be served.
    OutsideHomes,
    // The room that is left is kept for more urgent requests.
    NoRoomForPriority,
    // There are some where the request may be served, but all of them in data centres that
    // are evacuated.
    Evacuated
};

struct choice_result {
    // Null if none was chosen. Valid until the directory changes.
    const directory_entry* upstream = nullptr;
    distance_tier tier = distance_tier::SameDataCentre;
    choice_refusal refusal = choice_refusal::NoUpstream;
    // Whether the request is a trial: no host of the data centre has used the upstream
    // for a while.
    bool isTrial = false;
    // Why the request is no trial although one is due.
    std::optional<trial_denial> trialDenial = std::nullopt;
    // State of the upstream when it was chosen: whether the busy fraction of its slots
    // was reached, the requests in flight there, and its probability of failing.
    bool isBusy = false;
    unsigned inFlight = 0;
    double failingProbability = 0;
    // Whether the upstream is cold or may be.
    bool isCold = false;
    // Number of cold upstreams to which this host may not send the request now.
    unsigned coldDenied = 0;
    // For refusals: the expected time until an upstream has capacity.
    duration timeUntilCapacity {};
    // What decided about the request's priority, where several priorities use the service.
    admission_verdict admission;
};

// Which hosts the result of an attempt should be reported to.
enum class report_audience {
    Nobody,
    // The result differs from what the hosts of the same data centre expect.
    DataCentre,
    // The result made the upstream's probability of failing reach the threshold.
    Fleet
};

// An upstream of this data centre for which a trial is overdue although all hosts there
// had their turns, with this host's estimates of it.
struct idle_upstream {
    std::string id;
    std::string service;
    duration idleFor {};
    double failingProbability = 0;
    // Average latency relative to that of its service.
    double slowness = 1;
    // Average seconds until its failures were noticed.
    double failureLatency = 0;
    unsigned inFlight = 0;
    // Whether this host avoids it after failures to connect.
    bool isAvoided = false;
    // Seconds by which its expected cost exceeds that of the best upstream of its
    // service, for a request that can be retried and for one that cannot.
    double idempotentExcessCost = 0;
    double otherExcessCost = 0;
};

class upstream_choice {
public:
    // The seed gives each host its own order of preference among upstreams.
    upstream_choice(choice_settings settings, std::string dataCentre, region_map regions, std::uint64_t seed = 0, const cold_settings& cold = {}, std::string host = {})
        : m_settings(settings)
        , m_trials(settings.trials)
        , m_latencies(settings.initialLatency)
        , m_seed(seed)
        , m_dataCentre(std::move(dataCentre))
        , m_regions(std::move(regions))
        , m_cold(cold, std::move(host), m_regions)
    {
    }

    // Replaces the directory. The estimates of upstreams that remain in it are kept.
    void apply(const upstream_directory&, instant now);

    // Sets the regions in which any request of a service may be served. Services that are not
    // named are not limited.
    void setServiceHomes(std::map<std::string, region_limit> homes) { m_serviceHomes = std::move(homes); }

    // Sets the data centres whose upstreams get no requests. The upstreams of a data centre that
    // is taken back wait as long for their next trial as new ones.
    void setEvacuated(std::set<std::string> dataCentres, instant now);

    // Returns the number of upstreams that are in evacuated data centres.
    std::size_t evacuatedCount() const;

    // Chooses an upstream and counts a request in flight there.
    choice_result choose(const choice_query&, instant now, std::mt19937_64& random);

    // Returns the room that a service has for a request, as far as this host knows.
    service_room roomOf(const choice_query&, instant now);

    // Ends a request in flight and records its result. Returns which hosts the result
    // should be reported to.
    report_audience finish(const std::string& id, attempt_result, duration latency, instant now, const std::string& route = {});

    // Returns a latency at an upstream relative to the usual one of a route there.
    double relativeLatency(const std::string& id, const std::string& route, duration latency) const;

    // Ends a request in flight whose result says nothing about the upstream.
    void release(const std::string& id);

    // Records a result that another host reported. It does not count as a use of the
    // upstream, so that this host still explores for itself.
    // The other host may report the latency relative to what is usual for the request's
    // route; otherwise it is compared with that of the service.
    void recordRemoteResult(const std::string& id, attempt_result, duration latency, instant now, std::optional<double> relativeLatency = std::nullopt);

    // Replaces the requests in flight of another host of the data centre, by upstream.
    void setInFlight(const std::string& host, const std::map<std::string, unsigned>& counts, instant now);

    // Returns this host's requests in flight, by upstream.
    std::map<std::string, unsigned> ownInFlight() const;

    // Returns the upstreams to which this host sent requests since the last call.
    std::vector<std::string> takeStarted();

    // Records that another host of the data centre sent a request to an upstream.
    void recordRemoteStart(const std::string& id, instant now);

    // Returns the idle upstreams of this data centre that this host has to report: only
    // the host with the first turn at an upstream reports it. An upstream that stays idle
    // is returned again after as long a time. Those of a service that gets requests here
    // and does not need trials are left out.
    std::vector<idle_upstream> takeIdle(const service_losses&, instant now);

    // Records that another data centre asked this one for a trial of its upstream.
    void requestTrial(const std::string& id, instant now);

    // Records what an upstream announced to this host. Returns whether the neighbours
    // should be told that it is leaving.
    bool recordAnnouncement(const upstream_incarnation&, const upstream_announcement&, instant now);

    // Records that an upstream announced to another host that it is leaving.
    void recordRemoteLeaving(const upstream_incarnation& it, instant now) { m_announcements.recordLeaving(it, now); }

    // Forgets announcements that are too old to matter.
    void expireAnnouncements(instant now) { m_announcements.expire(now); }

    // Returns whether a service has an upstream that was not tried, accepts requests and is
    // allowed for a request with the limit.
    bool hasUntried(const std::string& service, const std::set<std::string>& tried, const region_limit& homes, instant now);

    // Returns whether a request with a limit may still be sent to an upstream that was chosen
    // earlier.
    bool acceptsNewRequests(const std::string& id, const region_limit& homes, instant now) const;

    // Returns the probability that an upstream is failing; 0 for an unknown id.
    double failingProbability(const std::string& id) const;

    // Returns the service of an upstream of another data centre; null for others.
    const std::string* serviceElsewhere(const std::string& id) const;

    // Returns the average latency of a service.
    duration usualLatency(const std::string& service) const { return fromSeconds(m_latencies.expectedSeconds(service)); }

    // Returns the average latency of an upstream relative to those of the requests' routes;
    // 1 for an unknown id.
    double slowness(const std::string& id) const { return m_rows.count(id) ? m_rows.at(id).slowness : 1; }

    std::size_t size() const { return m_rows.size(); }

    cold_admission& cold() { return m_cold; }

private:
    struct row {
        directory_entry entry;
        distance_tier tier = distance_tier::SameDataCentre;
        // Empty if the data centre is in no known region.
        std::string region;
        bool isEvacuated = false;
        // Position in this host's order of preference, from 0 for the first to 1.
        double preference = 0;
        unsigned ownInFlight = 0;
        // Invariant: the sum of the requests that all peers have in flight there.
        unsigned peersInFlight = 0;
        // Probability that the upstream is failing, as of failingProbabilityAt.
        double failingProbability = 0;
        instant failingProbabilityAt = distantPast;
        // Last use by this host.
        instant usedByHostAt = distantPast;
        // Last known use by any host of this data centre.
        instant usedByDataCentreAt = distantPast;
        // Whether this host sent a request since the last takeStarted().
        bool isStartUnreported = false;
        // Results in a row that were failures or slow responses.
        unsigned consecutiveBadResults = 0;
        // Trials that failed since the upstream was last believed healthy.
        unsigned failedTrials = 0;
        // When the last result of a request to the upstream was recorded.
        instant lastResultAt = distantPast;
        // When takeIdle() last returned the upstream.
        instant idleReportedAt = distantPast;
        // When the upstream's data centre last asked this one for a trial.
        instant trialRequestedAt = distantPast;
        // Average latency relative to those of the requests' routes, as of slownessAt.
        double slowness = 1;
        instant slownessAt = distantPast;
        // Average seconds until failures were noticed.
        double failureLatency = 0;
        instant shedAt = distantPast;
        unsigned failedConnects = 0;
        instant avoidedUntil = distantPast;
    };

    // Estimated fraction of the upstreams of a service that are failing.
    struct failing_share {
        double share = 0;
        instant at = distantPast;
    };

    struct peer_row {
        // Seed of the peer's order of preference, as m_seed is for this host.
        std::uint64_t seed = 0;
        std::map<std::string, unsigned> counts;
        instant lastReceivedAt = distantPast;
    };

    // A trial that this host could make now.
    struct due_trial {
        row* upstream = nullptr;
        trial_candidate candidate;
        duration overdueTime {};
        // Expected cost in seconds.
        double cost = 0;
    };

    static upstream_incarnation incarnationOf(const row& it) { return { it.entry.id, it.entry.startedAtUnixMs }; }
    // Returns whether an upstream is leaving, by its entry or by its own announcement.
    bool isLeaving(const row& it) const { return it.entry.isLeaving || m_announcements.isLeaving(incarnationOf(it)); }
    // Returns whether an upstream neither leaves nor wants a pause.
    bool acceptsRequests(const row& it, instant now) const { return !it.entry.isLeaving && m_announcements.acceptsRequests(incarnationOf(it), now); }
    // Why a request may not be sent to an upstream at all, whatever its state is.
    enum class exclusion {
        None,
        OutsideHomes,
        Evacuated
    };
    static exclusion exclusionOf(const row&, const region_limit& homes);
    static bool isAllowed(const row& it, const region_limit& homes) { return exclusionOf(it, homes) == exclusion::None; }
    // Returns whether the configuration allows any request to be sent to an upstream.
    bool isAllowedForAny(const row&) const;
    void recordResult(row&, attempt_result, duration latency, double relativeLatency, instant now) const;
    // Returns whether a result differs from what the estimates predict.
    bool isUnexpected(const row&, attempt_result, double relativeLatency) const;
    // Returns the probability that an upstream of a service without any results is failing.
    double steadyStateProbability(const std::string& service) const;
    // Estimates that probability anew if the last estimate is old.
    void updateFailingShare(const std::string& service, instant now);
    // Decays the estimates of an upstream up to an instant.
    void decayEstimates(row& it, instant now) const { decayEstimates(it, steadyStateProbability(it.entry.service), now); }
    // The same with the steady state of the upstream's service.
    void decayEstimates(row&, double steadyState, instant now) const;
    // Seconds that requests are expected to take: those of all routes of a service, and those of one route.
    struct expected_latency {
        double ofService = 0;
        double ofRoute = 0;
    };
    expected_latency latencyOf(const choice_query& it) const { return { m_latencies.expectedSeconds(it.service), m_latencies.expectedSeconds(it.service, it.route) }; }
    // Updates the failing probability by Bayes' rule with the likelihoods of a result.
    void updateProbability(row&, double whileFailing, double whileHealthy) const;
    // Returns the expected seconds until a request of any route gets a slot.
    double expectedWait(const row&, const expected_latency&) const;
    // Returns whether no more requests should be queued at an upstream.
    bool isQueueFull(const row& it) const { return it.ownInFlight + it.peersInFlight >= it.entry.slots * (1 + m_settings.maxQueuePerSlot); }
    // Returns the expected cost of a request in seconds.
    double expectedCost(const row&, const choice_query&, const expected_latency&, instant now) const;
    // Returns what trial_policy needs to know of an upstream.
    trial_candidate trialCandidate(const row&, instant now) const;
    // Returns the number of hosts of the data centre whose turn at an upstream comes
    // before this host's.
    unsigned trialRank(const row&) const;
    // Returns the upstream at which a request should make one of the trials that are due, or
    // null. A request that can be repeated makes the one that has been due for longest,
    // others the one that most probably succeeds.
    row* chooseTrial(const std::vector<due_trial>&, const trial_request&, double coverage, std::optional<trial_denial>& denial) const;
    // Returns the estimated coverage of the upstreams of a service in this data centre.
    double coverageOf(const std::string& service, instant now);
    bool isInUse(const row& it, instant now) const { return now - it.usedByDataCentreAt <= m_settings.trials.coverageWindow; }
    // Counts a request in flight at a chosen upstream, and completes the result with its state.
    void startRequest(row&, bool isTrial, instant now, choice_result&) const;
    // Returns the expected cost of the best upstream of a service.
    double minExpectedCost(const choice_query&, instant now);
    void recordStart(row&, instant now) const;
    void removeExpiredPeers(instant now);
    // Adds a peer's requests in flight to the rows (sign 1) or subtracts them (-1).
    void addPeerInFlight(const peer_row&, int sign);
    void recountPeersInFlight();
    distance_tier tierOf(const std::string& dataCentre) const;

    choice_settings m_settings;
    trial_policy m_trials;
    latency_model m_latencies;
    std::uint64_t m_seed;
    std::string m_dataCentre;
    region_map m_regions;
    std::map<std::string, row> m_rows;
    // Rows of each service; the pointers stay valid since rows of m_rows never move.
    std::map<std::string, std::vector<row*>> m_byService;
    std::map<std::string, region_limit> m_serviceHomes;
    // Data centres whose upstreams get no requests.
    std::set<std::string> m_evacuated;
    // Target latency of the last request for each service.
    std::map<std::string, duration> m_targetLatency;
    std::map<std::string, failing_share> m_failingShares;
    std::map<std::string, peer_row> m_peers;
    upstream_announcements m_announcements;
    cold_admission m_cold;
};

} // namespace almondmoor
