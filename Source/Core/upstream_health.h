// Detection of unhealthy upstreams from the results of real requests, which hosts share with each other.
//
// Each sample is the result of one attempt made by some host. Two sequential tests (CUSUM) run per upstream:
// one counts failed attempts, the other counts responses that are slow compared with the service's median
// latency. Both use the rates of the whole service as their baseline, so that no upstream is ejected when the
// whole service is slow or failing. Upstreams are ejected in order of their scores, and only as far as the
// service's floor permits.
//
// A failed connect concerns the network path and counts only if a host of the same data centre reports it. Other
// failures count from every host. An upstream is ejected only if several hosts (minReporters) report bad
// samples, or all hosts that report samples if there are fewer.

#pragma once

#include "Core/configuration.h"
#include "Core/core_time.h"
#include "Core/name_table.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace almondmoor {

enum class attempt_result {
    // A complete response that reports success.
    Good,
    // A response of class 5xx, a malformed response or a timeout.
    Failed,
    // The connection was lost after the request was sent.
    Crashed,
    // No connection could be established.
    Unreachable,
    // The upstream rejected the request to shed load. This does not count against the upstream.
    Shed
};

inline constexpr name_table<attempt_result, 5> attemptResultNames { {
    { attempt_result::Good, "good" },
    { attempt_result::Failed, "failed" },
    { attempt_result::Crashed, "crashed" },
    { attempt_result::Unreachable, "unreachable" },
    { attempt_result::Shed, "shed" },
} };

// One or more attempts of one host at one upstream with the same result.
struct attempt_sample {
    std::string upstream;
    attempt_result result = attempt_result::Good;
    // Latency bucket of the response, see latencyBucket().
    std::uint8_t bucket = 0;
    // Fingerprint of the request, for crashes only.
    std::uint64_t fingerprint = 0;
    std::uint32_t count = 1;
};

// Returns the bucket of a latency: two buckets per doubling from 0.125 ms.
std::uint8_t latencyBucket(duration latency);

// Returns the lower bound of a bucket.
duration bucketLowerBound(std::uint8_t bucket);

enum class upstream_state {
    Active,
    // The score has risen, or only the floor prevents ejection: receives a reduced fraction of the requests.
    Suspect,
    // Receives no new requests until the ejection time is over.
    Ejected,
    // Back after an ejection: receives a fraction of the requests that grows until the trial ends.
    Trial
};

inline constexpr name_table<upstream_state, 4> upstreamStateNames { {
    { upstream_state::Active, "active" },
    { upstream_state::Suspect, "suspect" },
    { upstream_state::Ejected, "ejected" },
    { upstream_state::Trial, "trial" },
} };

struct health_settings {
    // Score from which an upstream is ejected.
    double ejectScore = 10;
    // Score from which an upstream is suspect.
    double suspectScore = 5;
    // Highest failure and slow rates that are considered normal.
    double baselineFailureRate = 0.02;
    double baselineSlowRate = 0.03;
    // Lowest failure and slow rates that the tests assume for an unhealthy upstream.
    double unhealthyFailureRate = 0.3;
    double unhealthySlowRate = 0.5;
    // A response is slow from this multiple of the service's median latency.
    double slowFactor = 4;
    // Number of hosts that must report bad samples before an upstream is ejected.
    std::size_t minReporters = 2;
    // While more than this fraction of a service's upstreams have raised scores (from half of suspectScore), the
    // fault is attributed to the service as a whole and no upstream is ejected, nor for correlatedTtl afterwards.
    double correlatedFraction = 0.5;
    duration correlatedTtl = std::chrono::seconds(10);
    // An upstream must stay above ejectScore for this long before it is ejected, so that a slowdown of the whole
    // service can be recognized first.
    duration confirmationTime = std::chrono::milliseconds(400);
    duration reporterTtl = std::chrono::seconds(5);
    duration initialEjectionTime = std::chrono::seconds(5);
    duration maxEjectionTime = std::chrono::seconds(120);
    // After this time in state Active, the next ejection lasts initialEjectionTime again.
    duration ejectionTimeResetDelay = std::chrono::minutes(5);
    duration trialDuration = std::chrono::seconds(10);
    double trialWeight = 0.1;
    double suspectWeight = 0.25;
    // Time constant of the exponential decay of scores. Without decay, an upstream with few requests would stay
    // suspect because it receives too few good responses.
    duration scoreDecayWindow = std::chrono::seconds(20);
    // Time constant of the averages of a service's failure rate, slow rate and latencies.
    duration serviceWindow = std::chrono::seconds(10);
    // Switches for single mechanisms, for tests that show the effect of each.
    bool keepFloor = true;
    bool compareWithService = true;
    bool ignoreRepeatedCrashes = true;
};

struct upstream_health_row {
    std::string address;
    std::string service;
    unsigned slots = 1;
    upstream_duty duty = upstream_duty::Serving;
    upstream_state state = upstream_state::Active;
    // Fraction of its slots that may receive new requests, 0 to 1.
    double weight = 1;
    double failScore = 0;
    double slowScore = 0;
    std::optional<instant> ejectedUntil;
    std::optional<instant> trialSince;
    duration nextEjectionTime {};
    // Start of the current uninterrupted period in which the criteria for ejection have been met.
    std::optional<instant> unhealthySince;
    instant activeSince;
    std::uint64_t ejections = 0;
    // Time of the latest bad sample and of the latest sample of any kind, by host.
    std::map<std::string, instant> lastBadSampleByHost;
    std::map<std::string, instant> lastSampleByHost;

    double score() const { return failScore > slowScore ? failScore : slowScore; }
};

// A change of state, for logs and counters.
struct health_transition {
    std::string upstream;
    upstream_state from = upstream_state::Active;
    upstream_state to = upstream_state::Active;
    double failScore = 0;
    double slowScore = 0;
    // True if only the floor prevented the ejection of the upstream, or ended it.
    bool heldByFloor = false;
};

class upstream_health {
public:
    upstream_health(health_settings settings, std::string dataCentre)
        : m_settings(settings)
        , m_dataCentre(std::move(dataCentre))
    {
    }

    // Applies the upstreams and services of a new configuration.
    void applyConfiguration(const configuration&, instant now);

    // Records a sample that was taken by a host of the given data centre.
    void recordSample(const std::string& host, const std::string& dataCentre, const attempt_sample&, instant now);

    // Updates the states of all upstreams. Returns the transitions in a deterministic order.
    std::vector<health_transition> tick(instant now);

    const upstream_health_row* find(const std::string& upstream) const;
    const std::map<std::string, upstream_health_row>& rows() const { return m_rows; }

    // Returns the fraction of a service's slots that belong to upstreams which receive new requests.
    double usableCapacity(const std::string& service) const;

    // Returns the median latency of a service, or zero while there are too few samples.
    duration medianLatency(const std::string& service) const;

private:
    static constexpr std::size_t bucketCount = 40;

    struct service_row {
        double floor = 0;
        // Counts that decay over serviceWindow.
        double samples = 0;
        double bad = 0;
        double slow = 0;
        std::array<double, bucketCount> latencies {};
        instant decayedAt = distantPast;
        // Latest time at which more than correlatedFraction of the upstreams had raised scores.
        instant correlatedAt = distantPast;
    };

    void decay(service_row&, instant now) const;
    static std::uint8_t medianBucket(const service_row&);
    bool countsForHealth(const std::string& dataCentre, const attempt_sample&);
    void updateScores(upstream_health_row&, service_row&, const attempt_sample&);
    bool hasEnoughReporters(const upstream_health_row&, instant now) const;
    bool isConfirmedUnhealthy(upstream_health_row&, instant now) const;
    void changeState(upstream_health_row&, upstream_state, bool heldByFloor, instant now, std::vector<health_transition>&) const;
    bool isCorrelatedFailure(service_row&, const std::vector<upstream_health_row*>&, instant now) const;
    void updateService(service_row&, std::vector<upstream_health_row*>&, instant now, std::vector<health_transition>&) const;
    void decayScores(instant now);
    void endEjection(upstream_health_row&, instant now, std::vector<health_transition>&) const;
    void advanceTrial(upstream_health_row&, instant now, std::vector<health_transition>&) const;

    health_settings m_settings;
    std::string m_dataCentre;
    std::map<std::string, upstream_health_row> m_rows;
    std::map<std::string, service_row> m_services;
    // Upstreams that crashed on each request fingerprint since m_crashesClearedAt.
    std::map<std::uint64_t, std::set<std::string>> m_crashedUpstreams;
    instant m_crashesClearedAt = distantPast;
    instant m_scoresDecayedAt = distantPast;
};

} // namespace almondmoor
