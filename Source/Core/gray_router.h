// Choice of an upstream for each attempt.
//
// Near upstreams go first: the host's data centre, then its region, then the
// rest over billed links, each only when the nearer ones have no capacity left.
// Within a tier the less loaded of two random candidates is taken, by requests
// in flight against the concurrency that the upstream has been seen to carry.

#pragma once

#include "Core/endpoint_health.h"

#include <concepts>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace almondmoor {

// Returns the region of a data centre: the name up to its last dash.
std::string regionOf(const std::string& dataCentre);

// A way of choosing upstreams and of learning from the results. Baselines for
// experiments model the same concept.
template <typename Router>
concept attempt_router = requires(Router router, const configuration& held, const std::string& text, const std::set<std::string>& tried,
    work_sample sample, instant now, std::mt19937_64& random)
{
    router.adopt(held, now);
    {
        router.pick(text, tried, now, random)
        } -> std::same_as<std::optional<std::string>>;
    router.finish(text, work_result::Good, now);
    router.note(text, text, sample, now);
    router.tick(now);
};

struct router_settings {
    // Part of its limit that remains to an upstream after shedding load.
    double shedFactor = 0.7;
    double leastLimit = 1;
    // This host avoids an upstream that it cannot connect to for this long,
    // twice as long with each further failure. No other host is concerned.
    duration firstAvoidance = std::chrono::seconds(1);
    duration longestAvoidance = std::chrono::seconds(60);
    unsigned connectsAllowed = 2;
    // Switch for tests: choose among all tiers alike.
    bool nearFirst = true;
};

class gray_router {
public:
    gray_router(router_settings settings, health_settings health, std::string dataCentre)
        : m_settings(settings)
        , m_health(health, dataCentre)
        , m_dataCentre(std::move(dataCentre))
    {
    }

    void adopt(const configuration&, instant now);

    // Chooses an upstream of a service that is not among the tried ones and
    // counts a request in flight there. Returns nothing if none has capacity.
    std::optional<std::string> pick(const std::string& service, const std::set<std::string>& tried, instant now, std::mt19937_64& random);

    // Ends a request in flight that was never sent.
    void unpick(const std::string& upstream);

    // Ends a request in flight and adapts the upstream's concurrency limit.
    void finish(const std::string& upstream, work_result, instant now);

    // Takes in evidence from any host, this one included.
    void note(const std::string& host, const std::string& dataCentre, const work_sample&, instant now);

    std::vector<health_transition> tick(instant now) { return m_health.tick(now); }

    // Returns how many more requests of a service this host may have in flight.
    unsigned freeSlots(const std::string& service) const;

    // Returns whether any upstream of a service may get new work.
    bool hasUpstream(const std::string& service) const;

    // Returns whether a dispatch chosen earlier may still go to an upstream.
    bool takesNewWork(const std::string& upstream) const;

    const endpoint_health& health() const { return m_health; }

    // Returns the part of a service's slots whose upstreams get new work.
    double usableCapacity(const std::string& service) const { return m_health.usableCapacity(service); }

    // Returns whether an upstream is ejected.
    bool isOut(const std::string& upstream) const;

private:
    struct load_row {
        unsigned inFlight = 0;
        // Requests in flight that the upstream is believed to carry from here.
        double limit = 1;
        unsigned tier = 0;
        // Connects that failed one after the other, from this host only.
        unsigned failedConnects = 0;
        instant avoidUntil = longAgo;
    };

    void notePath(load_row&, work_result, instant now) const;
    std::optional<std::string> pickAmong(const std::string& service, const std::set<std::string>& tried, bool avoidsBadPaths, instant now, std::mt19937_64& random);

    double roomAt(const std::string& upstream, const load_row&) const;

    router_settings m_settings;
    endpoint_health m_health;
    std::string m_dataCentre;
    std::map<std::string, load_row> m_loads;
    std::map<std::string, std::vector<std::string>> m_byService;
};

static_assert(attempt_router<gray_router>);

} // namespace almondmoor
