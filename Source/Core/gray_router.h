// Choice of an upstream for each attempt.
//
// Upstreams are grouped into three tiers: the host's data centre, its region, and all other regions, which are
// reached over billed links. A tier is used only if no nearer tier has free capacity. Within a tier, the router
// draws two random candidates and takes the one with fewer requests in flight relative to its concurrency limit.

#pragma once

#include "Core/upstream_health.h"

#include <concepts>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace almondmoor {

// Returns the region of a data centre: the name up to its last dash.
std::string regionOf(const std::string& dataCentre);

// Interface of routers that choose upstreams and learn from the results. The baseline routers of the gray
// scenarios model the same concept.
template <typename Router>
concept attempt_router = requires(Router router, const configuration& newConfiguration, const std::string& text, const std::set<std::string>& tried,
    attempt_sample sample, instant now, std::mt19937_64& random)
{
    router.applyConfiguration(newConfiguration, now);
    {
        router.pick(text, tried, now, random)
        } -> std::same_as<std::optional<std::string>>;
    router.finish(text, attempt_result::Good, now);
    router.recordSample(text, text, sample, now);
    router.tick(now);
};

struct router_settings {
    // Factor that is applied to the concurrency limit of an upstream when it sheds load.
    double shedFactor = 0.7;
    double minLimit = 1;
    // When several connects in a row failed, this host avoids the upstream for initialAvoidanceTime. Each further
    // failure doubles the time. Other hosts are not affected.
    duration initialAvoidanceTime = std::chrono::seconds(1);
    duration maxAvoidanceTime = std::chrono::seconds(60);
    unsigned failedConnectThreshold = 2;
    // Prefers near tiers. Tests turn this off to choose among all upstreams alike.
    bool preferNear = true;
};

class gray_router {
public:
    gray_router(router_settings settings, health_settings health, std::string dataCentre)
        : m_settings(settings)
        , m_health(health, dataCentre)
        , m_dataCentre(std::move(dataCentre))
    {
    }

    void applyConfiguration(const configuration&, instant now);

    // Chooses an upstream of a service that has not been tried yet and counts a request in flight there. Returns
    // nothing if no upstream has free capacity.
    std::optional<std::string> pick(const std::string& service, const std::set<std::string>& tried, instant now, std::mt19937_64& random);

    // Removes a request in flight that was never sent.
    void cancelPick(const std::string& upstream);

    // Removes a request in flight and adapts the upstream's concurrency limit to the result.
    void finish(const std::string& upstream, attempt_result, instant now);

    // Records a sample of any host, including this one.
    void recordSample(const std::string& host, const std::string& dataCentre, const attempt_sample&, instant now);

    std::vector<health_transition> tick(instant now) { return m_health.tick(now); }

    // Returns how many more requests of a service this host may have in flight.
    unsigned freeSlots(const std::string& service) const;

    // Returns whether any upstream of a service accepts new requests.
    bool hasUpstream(const std::string& service) const;

    // Returns whether an upstream accepts new requests, also for an upstream that was chosen earlier.
    bool acceptsNewRequests(const std::string& upstream) const;

    const upstream_health& health() const { return m_health; }

    // Returns the fraction of a service's slots that belong to upstreams which receive new requests.
    double usableCapacity(const std::string& service) const { return m_health.usableCapacity(service); }

    // Returns whether an upstream is ejected.
    bool isEjected(const std::string& upstream) const;

private:
    struct load_row {
        unsigned inFlight = 0;
        // Number of requests that this host may have in flight at the upstream.
        double limit = 1;
        unsigned tier = 0;
        // Consecutive failed connects of this host.
        unsigned failedConnects = 0;
        instant avoidedUntil = distantPast;
    };

    void recordConnectResult(load_row&, attempt_result, instant now) const;
    std::optional<std::string> pickAmong(const std::string& service, const std::set<std::string>& tried, bool skipsAvoided, instant now, std::mt19937_64& random);

    double freeCapacity(const std::string& upstream, const load_row&) const;

    router_settings m_settings;
    upstream_health m_health;
    std::string m_dataCentre;
    std::map<std::string, load_row> m_loads;
    std::map<std::string, std::vector<std::string>> m_upstreamsByService;
};

static_assert(attempt_router<gray_router>);

} // namespace almondmoor
