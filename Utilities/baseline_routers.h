// Baseline routers that gray_bench compares with the project's router in the same scenarios.

#pragma once

#include "Core/gray_router.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace almondmoor {

// Sends to all upstreams in turn and never ejects.
class round_robin_router {
public:
    void applyConfiguration(const configuration& newConfiguration, instant)
    {
        for (const auto& [address, row] : newConfiguration.upstreams())
            m_upstreams.push_back(address);
    }
    std::optional<std::string> pick(const std::string&, const std::set<std::string>&, instant, std::mt19937_64&)
    {
        return m_upstreams.empty() ? std::nullopt : std::optional(m_upstreams[m_next++ % m_upstreams.size()]);
    }
    void finish(const std::string&, attempt_result, instant) { }
    void recordSample(const std::string&, const std::string&, const attempt_sample&, instant) { }
    void tick(instant) { }
    double usableCapacity(const std::string&) const { return 1; }
    bool isEjected(const std::string&) const { return false; }

private:
    std::vector<std::string> m_upstreams;
    std::size_t m_next = 0;
};

// Ejects an upstream for a time after consecutive failures seen by this host, up to a maximum fraction of all
// upstreams. This is a common default of proxies.
class consecutive_failure_router {
public:
    void applyConfiguration(const configuration& newConfiguration, instant)
    {
        for (const auto& [address, row] : newConfiguration.upstreams())
            m_rows.push_back(ejection_row { address, 0, distantPast, 0 });
    }
    std::optional<std::string> pick(const std::string&, const std::set<std::string>&, instant now, std::mt19937_64&)
    {
        for (std::size_t tried = 0; tried < m_rows.size(); ++tried) {
            const ejection_row& row = m_rows[m_next++ % m_rows.size()];
            if (row.ejectedUntil <= now)
                return row.address;
        }
        return std::nullopt;
    }
    void finish(const std::string& upstream, attempt_result result, instant now)
    {
        ejection_row& row = find(upstream);
        row.failures = result == attempt_result::Good ? 0 : row.failures + 1;
        const auto ejectedCount = std::count_if(m_rows.begin(), m_rows.end(), [now](const ejection_row& entry) { return entry.ejectedUntil > now; });
        const bool canEject = static_cast<double>(ejectedCount + 1) <= maxEjectedFraction * static_cast<double>(m_rows.size());
        if (row.failures < failureThreshold || !canEject)
            return;
        row.ejectedUntil = now + initialEjectionTime * ++row.ejections;
        row.failures = 0;
    }
    void recordSample(const std::string&, const std::string&, const attempt_sample&, instant) { }
    void tick(instant now) { m_now = now; }
    double usableCapacity(const std::string&) const
    {
        const auto usableCount = std::count_if(m_rows.begin(), m_rows.end(), [this](const ejection_row& entry) { return entry.ejectedUntil <= m_now; });
        return static_cast<double>(usableCount) / static_cast<double>(m_rows.size());
    }
    bool isEjected(const std::string& upstream) const
    {
        const auto found = std::find_if(m_rows.begin(), m_rows.end(), [&](const ejection_row& entry) { return entry.address == upstream; });
        return found->ejectedUntil > m_now;
    }

private:
    static constexpr int failureThreshold = 5;
    static constexpr double maxEjectedFraction = 0.1;
    static constexpr duration initialEjectionTime = std::chrono::seconds(30);

    struct ejection_row {
        std::string address;
        int failures = 0;
        instant ejectedUntil = distantPast;
        int ejections = 0;
    };

    ejection_row& find(const std::string& upstream)
    {
        return *std::find_if(m_rows.begin(), m_rows.end(), [&](const ejection_row& entry) { return entry.address == upstream; });
    }

    std::vector<ejection_row> m_rows;
    std::size_t m_next = 0;
    instant m_now = distantPast;
};

// Draws two random upstreams, sends to the one with fewer requests in flight from this host, and never ejects.
class two_choices_router {
public:
    void applyConfiguration(const configuration& newConfiguration, instant)
    {
        for (const auto& [address, row] : newConfiguration.upstreams())
            m_upstreams.push_back(address);
    }
    std::optional<std::string> pick(const std::string&, const std::set<std::string>&, instant, std::mt19937_64& random)
    {
        std::uniform_int_distribution<std::size_t> draw(0, m_upstreams.size() - 1);
        const std::string& first = m_upstreams[draw(random)];
        const std::string& second = m_upstreams[draw(random)];
        const std::string& chosen = m_inFlight[second] < m_inFlight[first] ? second : first;
        ++m_inFlight[chosen];
        return chosen;
    }
    void finish(const std::string& upstream, attempt_result, instant) { --m_inFlight[upstream]; }
    void recordSample(const std::string&, const std::string&, const attempt_sample&, instant) { }
    void tick(instant) { }
    double usableCapacity(const std::string&) const { return 1; }
    bool isEjected(const std::string&) const { return false; }

private:
    std::vector<std::string> m_upstreams;
    std::map<std::string, int> m_inFlight;
};

} // namespace almondmoor
