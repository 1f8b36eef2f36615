// Small deterministic simulations of requests to upstreams with gray failures, for any router that models
// attempt_router.
//
// By default forty hosts, each with its own router, send Poisson arrivals to the simulated upstreams of one service.
// Samples reach the other hosts after exchangeDelay. The seed determines the whole run.

#pragma once

#include "Core/gray_router.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace almondmoor {

// The simulated faults.
enum class fault_kind {
    Healthy,
    Slow,
    FailingRequests,
    Flapping,
    OneHostDisconnected,
    AllSlow,
    Shedding
};

inline constexpr name_table<fault_kind, 7> faultKindNames { {
    { fault_kind::Healthy, "healthy noise" },
    { fault_kind::Slow, "one upstream 10x slow" },
    { fault_kind::FailingRequests, "one fails real work" },
    { fault_kind::Flapping, "one flaps every 5 s" },
    { fault_kind::OneHostDisconnected, "one host cut from one" },
    { fault_kind::AllSlow, "all 10x slow" },
    { fault_kind::Shedding, "one sheds load" },
} };

struct scenario_settings {
    fault_kind kind = fault_kind::Healthy;
    std::uint64_t seed = 1;
    unsigned hosts = 40;
    unsigned upstreams = 30;
    unsigned slots = 4;
    double requestsPerSecond = 400;
    duration length = std::chrono::seconds(60);
    duration faultDelay = std::chrono::seconds(20);
    duration exchangeDelay = std::chrono::milliseconds(300);
    double floor = 0.6;
};

struct scenario_result {
    std::uint64_t requests = 0;
    std::uint64_t failed = 0;
    // Requests for which no upstream had free capacity.
    std::uint64_t unplaced = 0;
    // Time from the first result of the faulty upstream after the fault until the last request to it before
    // hosts avoid it. Negative if hosts never avoided it.
    double detectionSeconds = -1;
    // Ejections of upstreams that were not faulty, summed over all hosts.
    std::uint64_t falseEjections = 0;
    // Lowest usable fraction of the service's capacity on any host at any tick.
    double minCapacity = 1;
    // Fraction of the requests after the fault that went to the faulty upstream.
    double faultyFraction = 0;
    double p99Ms = 0;
};

template <attempt_router Router>
class gray_scenario {
public:
    gray_scenario(scenario_settings settings, std::function<Router(unsigned host, const std::string& dataCentre)> make)
        : m_settings(settings)
        , m_random(settings.seed)
    {
        for (unsigned host = 0; host < settings.hosts; ++host)
            m_routers.push_back(make(host, dataCentre(host)));
        configure();
    }

    scenario_result run()
    {
        scheduleArrivals();
        for (instant at = m_start; at < m_start + m_settings.length; at += tickInterval)
            schedule(at, [this, at] { tick(at); });
        while (!m_events.empty()) {
            const event next = m_events.top();
            m_events.pop();
            next.run();
        }
        std::sort(m_latencies.begin(), m_latencies.end());
        if (!m_latencies.empty())
            m_result.p99Ms = m_latencies[static_cast<std::size_t>(0.99 * static_cast<double>(m_latencies.size() - 1))];
        computeDetection();
        return m_result;
    }

private:
    static constexpr duration tickInterval = std::chrono::milliseconds(50);
    static constexpr double medianLatencyMs = 20;
    static constexpr double slowFactor = 10;
    static constexpr double baselineFailureRate = 0.003;

    struct event {
        instant at;
        std::uint64_t sequence;
        std::function<void()> run;
        bool operator>(const event& other) const { return at != other.at ? at > other.at : sequence > other.sequence; }
    };

    static std::string dataCentre(unsigned index) { return absl::StrCat(std::array { "lagos", "kano", "enugu" }[index % 3], "-", index / 3 % 2 + 1); }
    static std::string address(unsigned index) { return absl::StrCat("10.1.0.", index + 1, ":80"); }

    void schedule(instant at, std::function<void()> run) { m_events.push(event { at, m_nextSequence++, std::move(run) }); }

    void configure()
    {
        config_version version = 0;
        const auto apply = [&](const std::string& command) { (void)m_configuration.apply(change { "c", ++version, "scenario", 0, command }); };
        apply(absl::StrCat("create service refills floor ", m_settings.floor * 100, "%"));
        for (unsigned index = 0; index < m_settings.upstreams; ++index)
            apply(absl::StrCat("create upstream ", address(index), " for service refills in ", dataCentre(index), " slots ", m_settings.slots));
        for (auto& router : m_routers)
            router.applyConfiguration(m_configuration, m_start);
    }

    void scheduleArrivals()
    {
        std::exponential_distribution<double> interarrivalTime(m_settings.requestsPerSecond);
        std::uniform_int_distribution<unsigned> hostDistribution(0, m_settings.hosts - 1);
        for (double at = interarrivalTime(m_random); at < toSeconds(m_settings.length); at += interarrivalTime(m_random)) {
            const unsigned host = hostDistribution(m_random);
            schedule(m_start + fromSeconds(at), [this, host, at] { handleArrival(host, m_start + fromSeconds(at)); });
        }
    }

    bool isFaulty(unsigned host, const std::string& upstream, instant now) const
    {
        const duration since = now - m_start - m_settings.faultDelay;
        if (since < duration::zero())
            return false;
        const bool isFaultTarget = upstream == address(0);
        switch (m_settings.kind) {
        case fault_kind::Healthy:
            return false;
        case fault_kind::AllSlow:
            return true;
        case fault_kind::OneHostDisconnected:
            return isFaultTarget && host == 0;
        case fault_kind::Flapping:
            return isFaultTarget && since / std::chrono::seconds(5) % 2 == 0;
        default:
            return isFaultTarget;
        }
    }

    void handleArrival(unsigned host, instant now)
    {
        ++m_result.requests;
        const auto upstream = m_routers[host].pick("refills", {}, now, m_random);
        if (!upstream) {
            ++m_result.unplaced;
            return;
        }
        const bool faulty = isFaulty(host, *upstream, now);
        recordRequest(*upstream, faulty, now);
        attempt_sample sample { *upstream, attempt_result::Good, 0, 0, 1 };
        duration latency = fromSeconds(std::lognormal_distribution<double>(std::log(medianLatencyMs / 1000), 0.4)(m_random));
        if (std::uniform_real_distribution<double>()(m_random) < baselineFailureRate)
            sample.result = attempt_result::Failed;
        if (faulty) {
            if (m_settings.kind == fault_kind::Slow || m_settings.kind == fault_kind::AllSlow)
                latency *= static_cast<int>(slowFactor);
            else if (m_settings.kind == fault_kind::Shedding)
                sample.result = attempt_result::Shed;
            else if (m_settings.kind == fault_kind::OneHostDisconnected)
                sample.result = attempt_result::Unreachable;
            else
                sample.result = attempt_result::Failed;
        }
        sample.bucket = latencyBucket(latency);
        schedule(now + latency, [this, host, sample, latency, at = now + latency] { finish(host, sample, latency, at); });
    }

    void finish(unsigned host, const attempt_sample& sample, duration latency, instant now)
    {
        m_result.failed += sample.result == attempt_result::Good ? 0 : 1;
        m_latencies.push_back(toSeconds(latency) * 1000);
        const bool isFirstBadResult = m_firstBadResultAt == distantPast && sample.upstream == address(0) && now >= m_start + m_settings.faultDelay && m_settings.kind != fault_kind::Healthy;
        if (isFirstBadResult)
            m_firstBadResultAt = now;
        m_routers[host].finish(sample.upstream, sample.result, now);
        const std::string name = absl::StrCat("h", host);
        m_routers[host].recordSample(name, dataCentre(host), sample, now);
        const instant receivedAt = now + m_settings.exchangeDelay;
        schedule(receivedAt, [this, host, name, sample, receivedAt] {
            for (unsigned other = 0; other < m_routers.size(); ++other) {
                if (other != host)
                    m_routers[other].recordSample(name, dataCentre(host), sample, receivedAt);
            }
        });
    }

    void tick(instant now)
    {
        for (auto& router : m_routers) {
            router.tick(now);
            m_result.minCapacity = std::min(m_result.minCapacity, router.usableCapacity("refills"));
        }
        for (unsigned index = 0; index < m_settings.upstreams; ++index) {
            const bool canBeEjected = index == 0 && m_settings.kind != fault_kind::Healthy && m_settings.kind != fault_kind::AllSlow && m_settings.kind != fault_kind::Shedding;
            if (canBeEjected)
                continue;
            for (unsigned host = 0; host < m_routers.size(); ++host)
                countFalseEjection(host, index);
        }
    }

    void countFalseEjection(unsigned host, unsigned index)
    {
        const bool isEjected = m_routers[host].isEjected(address(index));
        bool& wasEjected = m_wasEjected[{ host, index }];
        m_result.falseEjections += isEjected && !wasEjected ? 1 : 0;
        wasEjected = isEjected;
    }

    // Records a request for the detection time and for the fraction that went to the faulty upstream.
    void recordRequest(const std::string& upstream, bool faulty, instant now)
    {
        if (now < m_start + m_settings.faultDelay)
            return;
        ++m_requestsAfterFault;
        if (upstream != address(0) || !faulty)
            return;
        ++m_requestsToFaulty;
        m_faultyRequestTimes.push_back(now);
    }

    // Detection ends with the last request to the faulty upstream before a gap of minGap, in which it would
    // otherwise have received several requests.
    void computeDetection()
    {
        if (m_requestsAfterFault > 0)
            m_result.faultyFraction = static_cast<double>(m_requestsToFaulty) / static_cast<double>(m_requestsAfterFault);
        if (m_firstBadResultAt == distantPast || m_faultyRequestTimes.empty())
            return;
        constexpr duration minGap = std::chrono::seconds(1);
        const instant end = m_start + m_settings.length;
        for (std::size_t index = 0; index < m_faultyRequestTimes.size(); ++index) {
            const instant next = index + 1 < m_faultyRequestTimes.size() ? m_faultyRequestTimes[index + 1] : end;
            if (next - m_faultyRequestTimes[index] < minGap || m_faultyRequestTimes[index] < m_firstBadResultAt)
                continue;
            m_result.detectionSeconds = toSeconds(m_faultyRequestTimes[index] - m_firstBadResultAt);
            return;
        }
    }

    scenario_settings m_settings;
    std::mt19937_64 m_random;
    instant m_start { std::chrono::hours(1) };
    configuration m_configuration;
    std::vector<Router> m_routers;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::uint64_t m_nextSequence = 0;
    scenario_result m_result;
    std::vector<double> m_latencies;
    instant m_firstBadResultAt = distantPast;
    std::uint64_t m_requestsAfterFault = 0;
    std::uint64_t m_requestsToFaulty = 0;
    std::vector<instant> m_faultyRequestTimes;
    std::map<std::pair<unsigned, unsigned>, bool> m_wasEjected;
};

} // namespace almondmoor
