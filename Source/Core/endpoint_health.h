// Health of upstreams from evidence of real work, shared between hosts.
//
// Each sample is one attempt that some host made. Per upstream two sequential
// tests (CUSUM) run over the samples: one for failed work, one for answers that
// are slow against the service's median. The tests compare against the rates of
// the whole service, so that a service that is slow or failing everywhere
// ejects nobody. Ejection ranks by score and stops at the service's floor.
//
// Evidence about the path (a failed connect) counts only from hosts of the same
// data centre; evidence about the work counts from all. Work fails an upstream
// only if several hosts say so, unless fewer use it.

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

enum class work_result {
    // A whole answer that the upstream meant as success.
    Good,
    // An answer of class 5xx, a broken answer or a timeout.
    Failed,
    // The connection was lost after the request was sent.
    Crashed,
    // No connection could be made.
    Unreachable,
    // The upstream said that it sheds load; no evidence against it.
    Shed
};

inline constexpr name_table<work_result, 5> workResultNames { {
    { work_result::Good, "good" },
    { work_result::Failed, "failed" },
    { work_result::Crashed, "crashed" },
    { work_result::Unreachable, "unreachable" },
    { work_result::Shed, "shed" },
} };

// One or more equal attempts of one host at one upstream.
struct work_sample {
    std::string upstream;
    work_result result = work_result::Good;
    // Half-octave of the answer's latency; see latencyBucket().
    std::uint8_t bucket = 0;
    // Fingerprint of the request, for crashes only.
    std::uint64_t fingerprint = 0;
    std::uint32_t count = 1;
};

// Returns the bucket of a latency: two buckets per doubling from 0.125 ms.
std::uint8_t latencyBucket(duration latency);

// Returns the lower bound of a bucket.
duration bucketFloor(std::uint8_t bucket);

enum class endpoint_state {
    Active,
    // Evidence is growing, or the floor keeps it in use: gets little new work.
    Suspect,
    // Gets no new work until its hold time is over.
    Ejected,
    // Back with a little work that grows while it goes well.
    Trial
};

inline constexpr name_table<endpoint_state, 4> endpointStateNames { {
    { endpoint_state::Active, "active" },
    { endpoint_state::Suspect, "suspect" },
    { endpoint_state::Ejected, "ejected" },
    { endpoint_state::Trial, "trial" },
} };

struct health_settings {
    // Score at which an upstream is to be ejected.
    double ejectScore = 10;
    // Score from which it is suspect.
    double suspectScore = 5;
    // Greatest failure rate that counts as ordinary.
    double ordinaryFailureRate = 0.02;
    double ordinarySlowRate = 0.03;
    // Rate that a failing or slow upstream is taken to have at least.
    double failingRate = 0.3;
    double slowRate = 0.5;
    // An answer is slow from this multiple of the service's median on.
    double slowFactor = 4;
    // Hosts that must have seen bad work before an upstream is ejected.
    std::size_t leastWitnesses = 2;
    // While more than this part of a service's upstreams look bad, the service
    // is, and nobody is ejected; nor for a time after.
    double correlatedPart = 0.5;
    duration correlatedMemory = std::chrono::seconds(10);
    // An upstream must look bad for this long before it is ejected, so that a
    // service that turns slow shows itself first.
    duration confirmFor = std::chrono::milliseconds(400);
    duration witnessMemory = std::chrono::seconds(5);
    duration firstHold = std::chrono::seconds(5);
    duration longestHold = std::chrono::seconds(120);
    // Time in good health after which the next hold is the first again.
    duration forgiveAfter = std::chrono::minutes(5);
    duration trialLength = std::chrono::seconds(10);
    double trialWeight = 0.1;
    double suspectWeight = 0.25;
    // Time over which evidence fades, so that an upstream that gets little work
    // does not stay suspect for want of good answers.
    duration evidenceMemory = std::chrono::seconds(20);
    // Time over which a service's own rates are averaged.
    duration serviceWindow = std::chrono::seconds(10);
    // Switches of single mechanisms, for tests that show what each is for.
    bool keepFloor = true;
    bool compareWithService = true;
    bool ignoreRepeatedCrashes = true;
};

struct endpoint_row {
    std::string address;
    std::string service;
    unsigned slots = 1;
    upstream_duty duty = upstream_duty::Serving;
    endpoint_state state = endpoint_state::Active;
    // Part of its slots that may get new work, 0 to 1.
    double weight = 1;
    double failScore = 0;
    double slowScore = 0;
    std::optional<instant> holdUntil;
    std::optional<instant> trialSince;
    duration nextHold {};
    // Since when it has looked bad without a break.
    std::optional<instant> badSince;
    instant goodSince;
    std::uint64_t ejections = 0;
    // Latest bad and latest any sample by host.
    std::map<std::string, instant> badWitnesses;
    std::map<std::string, instant> witnesses;

    double score() const { return failScore > slowScore ? failScore : slowScore; }
};

// A change of state, for logs and counters.
struct health_transition {
    std::string upstream;
    endpoint_state from = endpoint_state::Active;
    endpoint_state to = endpoint_state::Active;
    double failScore = 0;
    double slowScore = 0;
    // True if only the floor kept the upstream from being ejected.
    bool heldByFloor = false;
};

class endpoint_health {
public:
    endpoint_health(health_settings settings, std::string dataCentre)
        : m_settings(settings)
        , m_dataCentre(std::move(dataCentre))
    {
    }

    // Follows the upstreams and services of a configuration.
    void adopt(const configuration&, instant now);

    // Takes in what a host of a data centre saw.
    void note(const std::string& host, const std::string& dataCentre, const work_sample&, instant now);

    // Moves states on. Returns the transitions in a fixed order.
    std::vector<health_transition> tick(instant now);

    const endpoint_row* find(const std::string& upstream) const;
    const std::map<std::string, endpoint_row>& rows() const { return m_rows; }

    // Returns the part of a service's slots whose upstreams get new work.
    double usableCapacity(const std::string& service) const;

    // Returns the median latency of a service, or zero before any answer.
    duration medianLatency(const std::string& service) const;

private:
    static constexpr std::size_t bucketCount = 40;

    struct service_row {
        double floor = 0;
        // Decaying counts over the service window.
        double samples = 0;
        double bad = 0;
        double slow = 0;
        std::array<double, bucketCount> latencies {};
        instant decayedAt = longAgo;
        // Latest instant at which most of its upstreams looked bad together.
        instant correlatedAt = longAgo;
    };

    void decay(service_row&, instant now) const;
    static std::uint8_t medianBucket(const service_row&);
    bool isWorkEvidence(const std::string& dataCentre, const work_sample&);
    void score(endpoint_row&, service_row&, const work_sample&);
    bool hasWitnesses(const endpoint_row&, instant now) const;
    bool isConfirmedBad(endpoint_row&, instant now) const;
    void moveTo(endpoint_row&, endpoint_state, bool heldByFloor, instant now, std::vector<health_transition>&) const;
    bool isCorrelated(service_row&, const std::vector<endpoint_row*>&, instant now) const;
    void tickService(service_row&, std::vector<endpoint_row*>&, instant now, std::vector<health_transition>&) const;
    void fadeEvidence(instant now);
    void endHold(endpoint_row&, instant now, std::vector<health_transition>&) const;
    void growTrial(endpoint_row&, instant now, std::vector<health_transition>&) const;

    health_settings m_settings;
    std::string m_dataCentre;
    std::map<std::string, endpoint_row> m_rows;
    std::map<std::string, service_row> m_services;
    // Upstreams felled by each request fingerprint of late.
    std::map<std::uint64_t, std::set<std::string>> m_crashes;
    instant m_crashesSince = longAgo;
    instant m_fadedAt = longAgo;
};

} // namespace almondmoor
