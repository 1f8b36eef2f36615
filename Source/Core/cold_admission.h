// Bounds what this host sends to cold upstreams, so that the whole fleet stays within the rate that a cold upstream
// bears, without a message between hosts at the time of a request.
//
// An upstream is cold for some time after its start, and bears few requests until then. It is known to be cold by its
// row of service discovery. The row lags, so an upstream that could not be connected to is suspected to be cold: it may
// have restarted, and is cold from the start on. If many upstreams of one data centre are out of reach at once,
// all of them are suspected.
//
// Only a few hosts may use a cold upstream. All hosts compute them from the membership: the hosts of the upstream's data
// centre come first, then those of its region, in rendezvous order. Each of them sends at most a fixed number of requests
// in any one second, so that the sum stays below half of the tolerated number. The other half is a margin for hosts that
// believe another membership. A host uses its place only after it has had it for a settling time, and gives it up at
// once; a host that has just started has no place.
//
// The class takes no lock and reads no clock.

#pragma once

#include "Core/core_time.h"
#include "Core/name_table.h"
#include "Core/serving_config.h"
#include "Core/upstream_directory.h"
#include "Core/upstream_health.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace almondmoor {

struct cold_settings {
    // A cold upstream may get its service's warm-up rate times the overage plus the slack in any one second.
    double overage = 1;
    double slack = 0;
    // Time after which all hosts in touch know a change of the membership.
    duration settleTime = std::chrono::seconds(4);
    // Highest age of what a row says when it arrives.
    duration maxRowAge = std::chrono::milliseconds(2500);
    // Time for which a failure to connect counts as evidence that the upstream is down.
    duration evidenceTtl = std::chrono::seconds(2);
    // Longest time between two attempts at an upstream that is down, over all hosts that may use it.
    duration maxAttemptGap = std::chrono::milliseconds(1500);
    // Time over which the hosts resume their usual use of an upstream after its cold time.
    duration resumeSpread = std::chrono::seconds(1);
};

// Data centres by the names of the member hosts.
using host_map = std::map<std::string, std::string>;

enum class cold_state {
    Warm,
    // Its row says so.
    Cold,
    // It may have restarted.
    Suspected
};

inline constexpr name_table<cold_state, 3> coldStateNames { {
    { cold_state::Warm, "warm" },
    { cold_state::Cold, "cold" },
    { cold_state::Suspected, "suspected" },
} };

struct cold_change {
    std::string upstream;
    cold_state state = cold_state::Warm;
};

// What the other hosts should learn.
struct cold_news {
    // Upstreams that this host could not connect to; for the hosts of the data centre.
    std::vector<std::string> unreachable;
    // Upstreams that several hosts could not reach; for all hosts.
    std::vector<std::string> suspected;
};

class cold_admission {
public:
    cold_admission(const cold_settings& settings, std::string host, region_map regions)
        : m_settings(settings)
        , m_host(std::move(host))
        , m_regions(std::move(regions))
    {
    }

    // Sets which services have cold upstreams. An upstream of another service is never cold.
    void setServices(const std::map<std::string, service_config, std::less<>>&, instant now);

    // Sets the members of the fleet, this host included.
    void setMembers(const host_map&, instant now);

    // Applies the rows of service discovery.
    void apply(const upstream_directory&, instant now);

    // Records the result of an attempt of this host that took the given time.
    void recordResult(const std::string& id, attempt_result, duration latency, instant now);

    // Records that another host of the data centre could not connect to an upstream, or lost a connection to it.
    void recordRemoteFailure(const std::string& id, const std::string& host, bool isUnreachable, instant now);

    // Records that several other hosts could not reach an upstream.
    void recordRemoteSuspicion(const std::string& id, instant now);

    // Treats all upstreams of a data centre that is used again after an evacuation as cold, until their rows would say so.
    void recordReturn(const std::string& dataCentre, instant now);

    // Treats all upstreams of a data centre as cold until an instant.
    void suspectDataCentre(const std::string& dataCentre, instant until, instant now);

    bool isCold(const std::string& id, instant now) const;

    // Returns when this host may next send a request to an upstream; now or earlier if it may at once.
    instant nextUse(const std::string& id, instant now);

    // Records that this host sends a request to an upstream. Returns whether the upstream is cold.
    bool recordUse(const std::string& id, instant now);

    // Forgets upstreams that are warm.
    void expire(instant now);

    // Returns what became known since the last call.
    cold_news takeNews() { return std::exchange(m_news, {}); }
    std::vector<cold_change> takeChanges() { return std::exchange(m_changes, {}); }

    // Returns the number of cold or suspected upstreams.
    std::size_t coldCount(instant now) const;

private:
    struct service_limit {
        duration coldStart {};
        // Requests per second that one cold upstream bears.
        double rate = 0;
        // Requests that the hosts of one membership may send to one cold upstream in any one second.
        unsigned perSecond = 0;
    };

    struct known_upstream {
        std::string service;
        std::string dataCentre;
        std::uint64_t rowVersion = 0;
        std::int64_t startedAtUnixMs = 0;
        instant coldUntil = distantPast;
    };

    // Latest failures of one host at an upstream.
    struct failure_evidence {
        instant at = distantPast;
        // Failures in a row to connect.
        unsigned connectFailures = 0;
    };

    // This host's part in the use of a cold upstream.
    struct host_part {
        bool isChosen = false;
        duration interval {};
        // When the part must be computed again.
        instant validUntil = distantPast;
        std::uint64_t membershipRevision = 0;
    };

    // An upstream that is cold, is suspected, or was out of reach recently.
    struct row {
        known_upstream upstream;
        cold_state state = cold_state::Warm;
        instant coldUntil = distantPast;
        instant suspectedUntil = distantPast;
        // Beginning of the suspicion; a later failure renews it.
        instant suspectedAt = distantPast;
        // Latest failure of this upstream that led to a suspicion.
        instant failedAt = distantPast;
        // Whether a request that this host sent after suspectedAt has succeeded.
        bool hasSucceeded = false;
        instant toldNeighboursAt = distantPast;
        instant toldFleetAt = distantPast;
        std::map<std::string, failure_evidence> evidence;
        instant nextUseAt = distantPast;
        host_part part;
    };

    struct member_set {
        host_map members;
        // When another membership replaced this one.
        instant replacedAt = distantPast;
    };

    const service_limit* limitOf(const std::string& service) const;
    // Returns the row of an upstream whose service has a limit, or null.
    row* rowFor(const std::string& id);
    // Returns when this host may use the upstream as usual again.
    instant endOfColdTime(const std::string& id, const row&) const;
    // Returns a fraction in [0, 1) that differs between hosts and upstreams.
    double hostFraction(const std::string& id) const;
    void recordFailure(const std::string& id, row&, const std::string& host, bool isUnreachable, instant now);
    void suspect(const std::string& id, row&, instant now);
    // Suspects the whole data centre of an upstream if many upstreams there are out of reach.
    void suspectCompanions(const known_upstream&, instant now);
    void setSuspicion(const std::string& id, row&, instant until, instant now);
    void updateState(const std::string& id, row&, instant now);
    const host_part& partOf(const std::string& id, row&, const service_limit&, instant now);
    // Returns the number of hosts of a membership that may use an upstream.
    unsigned placesIn(const host_map&, const known_upstream&, const service_limit&) const;
    bool hasPlace(const host_map&, const std::string& id, const known_upstream&, unsigned places) const;
    unsigned tierOf(const std::string& dataCentre, const std::string& other) const;
    void addChange(const std::string& id, cold_state);

    cold_settings m_settings;
    std::string m_host;
    region_map m_regions;
    std::map<std::string, service_limit, std::less<>> m_limits;
    std::map<std::string, known_upstream> m_known;
    std::map<std::string, row> m_rows;
    // The present membership is last. Invariant: the others were replaced in order, within the settling time before the
    // last change.
    std::vector<member_set> m_memberships;
    std::uint64_t m_membershipRevision = 0;
    cold_news m_news;
    std::vector<cold_change> m_changes;
};

} // namespace almondmoor
