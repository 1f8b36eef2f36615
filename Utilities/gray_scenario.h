// Small deterministic scenarios of requests against gray upstreams, for any
// router that models attempt_router.
//
// Forty hosts, each with a router of its own, send Poisson arrivals to the
// scripted upstreams of one service. Evidence reaches the other hosts after the
// delay of an exchange. Everything follows from a seed.

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

// The faults that scenarios script.
enum class gray_kind {
    Healthy,
    Slow,
    FailingWork,
    Flapping,
    OneHostCut,
    AllSlow,
    Shedding
};

inline constexpr name_table<gray_kind, 7> grayKindNames { {
    { gray_kind::Healthy, "healthy noise" },
    { gray_kind::Slow, "one upstream 10x slow" },
    { gray_kind::FailingWork, "one fails real work" },
    { gray_kind::Flapping, "one flaps every 5 s" },
    { gray_kind::OneHostCut, "one host cut from one" },
    { gray_kind::AllSlow, "all 10x slow" },
    { gray_kind::Shedding, "one sheds load" },
} };

struct scenario_settings {
    gray_kind kind = gray_kind::Healthy;
    std::uint64_t seed = 1;
    unsigned hosts = 40;
    unsigned upstreams = 30;
    unsigned slots = 4;
    double requestsPerSecond = 400;
    duration length = std::chrono::seconds(60);
    duration faultAt = std::chrono::seconds(20);
    duration exchangeDelay = std::chrono::milliseconds(300);
    double floor = 0.6;
};

struct scenario_result {
    std::uint64_t requests = 0;
    std::uint64_t failed = 0;
    // Requests that found no upstream with room.
    std::uint64_t unplaced = 0;
    // From the first bad answer to the last new work before hosts avoid the
    // upstream; negative if they never did.
    double detectionSeconds = -1;
    // Ejections of upstreams that were not faulty, over all hosts.
    std::uint64_t falseEjections = 0;
    // Least usable part of the service at any host and tick.
    double leastCapacity = 1;
    // Part of the requests after the fault that went to the faulty upstream.
    double faultyPart = 0;
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
            push(at, [this, at] { tick(at); });
        while (!m_events.empty()) {
            const event next = m_events.top();
            m_events.pop();
            next.run();
        }
        std::sort(m_latencies.begin(), m_latencies.end());
        if (!m_latencies.empty())
            m_result.p99Ms = m_latencies[static_cast<std::size_t>(0.99 * static_cast<double>(m_latencies.size() - 1))];
        finishDetection();
        return m_result;
    }

private:
    static constexpr duration tickInterval = std::chrono::milliseconds(50);
    static constexpr double medianMs = 20;
    static constexpr double slowFactor = 10;
    static constexpr double ordinaryFailures = 0.003;

    struct event {
        instant at;
        std::uint64_t number;
        std::function<void()> run;
        bool operator>(const event& other) const { return at != other.at ? at > other.at : number > other.number; }
    };

    static std::string dataCentre(unsigned index) { return absl::StrCat(std::array { "lagos", "kano", "enugu" }[index % 3], "-", index / 3 % 2 + 1); }
    static std::string address(unsigned index) { return absl::StrCat("10.1.0.", index + 1, ":80"); }

    void push(instant at, std::function<void()> run) { m_events.push(event { at, m_number++, std::move(run) }); }

    void configure()
    {
        config_version version = 0;
        const auto apply = [&](const std::string& command) { (void)m_held.apply(change { "c", ++version, "scenario", 0, command }); };
        apply(absl::StrCat("create service refills floor ", m_settings.floor * 100, "%"));
        for (unsigned index = 0; index < m_settings.upstreams; ++index)
            apply(absl::StrCat("create upstream ", address(index), " for service refills in ", dataCentre(index), " slots ", m_settings.slots));
        for (auto& router : m_routers)
            router.adopt(m_held, m_start);
    }

    void scheduleArrivals()
    {
        std::exponential_distribution<double> gap(m_settings.requestsPerSecond);
        std::uniform_int_distribution<unsigned> choice(0, m_settings.hosts - 1);
        for (double at = gap(m_random); at < toSeconds(m_settings.length); at += gap(m_random)) {
            const unsigned host = choice(m_random);
            push(m_start + fromSeconds(at), [this, host, at] { arrive(host, m_start + fromSeconds(at)); });
        }
    }

    bool isFaulty(unsigned host, const std::string& upstream, instant now) const
    {
        const duration since = now - m_start - m_settings.faultAt;
        if (since < duration::zero())
            return false;
        const bool isFirst = upstream == address(0);
        switch (m_settings.kind) {
        case gray_kind::Healthy:
            return false;
        case gray_kind::AllSlow:
            return true;
        case gray_kind::OneHostCut:
            return isFirst && host == 0;
        case gray_kind::Flapping:
            return isFirst && since / std::chrono::seconds(5) % 2 == 0;
        default:
            return isFirst;
        }
    }

    void arrive(unsigned host, instant now)
    {
        ++m_result.requests;
        const auto upstream = m_routers[host].pick("refills", {}, now, m_random);
        if (!upstream) {
            ++m_result.unplaced;
            return;
        }
        const bool faulty = isFaulty(host, *upstream, now);
        noteWork(*upstream, faulty, now);
        work_sample sample { *upstream, work_result::Good, 0, 0, 1 };
        duration latency = fromSeconds(std::lognormal_distribution<double>(std::log(medianMs / 1000), 0.4)(m_random));
        if (std::uniform_real_distribution<double>()(m_random) < ordinaryFailures)
            sample.result = work_result::Failed;
        if (faulty) {
            if (m_settings.kind == gray_kind::Slow || m_settings.kind == gray_kind::AllSlow)
                latency *= static_cast<int>(slowFactor);
            else if (m_settings.kind == gray_kind::Shedding)
                sample.result = work_result::Shed;
            else if (m_settings.kind == gray_kind::OneHostCut)
                sample.result = work_result::Unreachable;
            else
                sample.result = work_result::Failed;
        }
        sample.bucket = latencyBucket(latency);
        push(now + latency, [this, host, sample, latency, at = now + latency] { finish(host, sample, latency, at); });
    }

    void finish(unsigned host, const work_sample& sample, duration latency, instant now)
    {
        m_result.failed += sample.result == work_result::Good ? 0 : 1;
        m_latencies.push_back(toSeconds(latency) * 1000);
        const bool isFirstBad = m_firstBadAt == longAgo && sample.upstream == address(0) && now >= m_start + m_settings.faultAt && m_settings.kind != gray_kind::Healthy;
        if (isFirstBad)
            m_firstBadAt = now;
        m_routers[host].finish(sample.upstream, sample.result, now);
        const std::string name = absl::StrCat("h", host);
        m_routers[host].note(name, dataCentre(host), sample, now);
        const instant heard = now + m_settings.exchangeDelay;
        push(heard, [this, host, name, sample, heard] {
            for (unsigned other = 0; other < m_routers.size(); ++other) {
                if (other != host)
                    m_routers[other].note(name, dataCentre(host), sample, heard);
            }
        });
    }

    void tick(instant now)
    {
        for (auto& router : m_routers) {
            router.tick(now);
            m_result.leastCapacity = std::min(m_result.leastCapacity, router.usableCapacity("refills"));
        }
        for (unsigned index = 0; index < m_settings.upstreams; ++index) {
            const bool mayEject = index == 0 && m_settings.kind != gray_kind::Healthy && m_settings.kind != gray_kind::AllSlow && m_settings.kind != gray_kind::Shedding;
            if (mayEject)
                continue;
            for (unsigned host = 0; host < m_routers.size(); ++host)
                countFalseEjection(host, index);
        }
    }

    void countFalseEjection(unsigned host, unsigned index)
    {
        const bool isOut = m_routers[host].isOut(address(index));
        bool& wasOut = m_wasOut[{ host, index }];
        m_result.falseEjections += isOut && !wasOut ? 1 : 0;
        wasOut = isOut;
    }

    // Work that reaches the faulty upstream, for detection and its share.
    void noteWork(const std::string& upstream, bool faulty, instant now)
    {
        if (now < m_start + m_settings.faultAt)
            return;
        ++m_afterFault;
        if (upstream != address(0) || !faulty)
            return;
        ++m_toFaulty;
        m_workAt.push_back(now);
    }

    // The upstream counts as out of new work from the last request before a gap
    // of a second in which it would have got several.
    void finishDetection()
    {
        if (m_afterFault > 0)
            m_result.faultyPart = static_cast<double>(m_toFaulty) / static_cast<double>(m_afterFault);
        if (m_firstBadAt == longAgo || m_workAt.empty())
            return;
        constexpr duration quiet = std::chrono::seconds(1);
        const instant end = m_start + m_settings.length;
        for (std::size_t index = 0; index < m_workAt.size(); ++index) {
            const instant next = index + 1 < m_workAt.size() ? m_workAt[index + 1] : end;
            if (next - m_workAt[index] < quiet || m_workAt[index] < m_firstBadAt)
                continue;
            m_result.detectionSeconds = toSeconds(m_workAt[index] - m_firstBadAt);
            return;
        }
    }

    scenario_settings m_settings;
    std::mt19937_64 m_random;
    instant m_start { std::chrono::hours(1) };
    configuration m_held;
    std::vector<Router> m_routers;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::uint64_t m_number = 0;
    scenario_result m_result;
    std::vector<double> m_latencies;
    instant m_firstBadAt = longAgo;
    std::uint64_t m_afterFault = 0;
    std::uint64_t m_toFaulty = 0;
    std::vector<instant> m_workAt;
    std::map<std::pair<unsigned, unsigned>, bool> m_wasOut;
};

} // namespace almondmoor
