// Routers that the project is measured against on the same scenarios.

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
    void adopt(const configuration& held, instant)
    {
        for (const auto& [address, row] : held.upstreams())
            m_upstreams.push_back(address);
    }
    std::optional<std::string> pick(const std::string&, const std::set<std::string>&, instant, std::mt19937_64&)
    {
        return m_upstreams.empty() ? std::nullopt : std::optional(m_upstreams[m_next++ % m_upstreams.size()]);
    }
    void finish(const std::string&, work_result, instant) { }
    void note(const std::string&, const std::string&, const work_sample&, instant) { }
    void tick(instant) { }
    double usableCapacity(const std::string&) const { return 1; }
    bool isOut(const std::string&) const { return false; }

private:
    std::vector<std::string> m_upstreams;
    std::size_t m_next = 0;
};

// Ejects an upstream for a time after consecutive failures that this host saw,
// at most a part of all: the common default of proxies.
class consecutive_failure_router {
public:
    void adopt(const configuration& held, instant)
    {
        for (const auto& [address, row] : held.upstreams())
            m_rows.push_back(row_of { address, 0, longAgo, 0 });
    }
    std::optional<std::string> pick(const std::string&, const std::set<std::string>&, instant now, std::mt19937_64&)
    {
        for (std::size_t tried = 0; tried < m_rows.size(); ++tried) {
            const row_of& row = m_rows[m_next++ % m_rows.size()];
            if (row.outUntil <= now)
                return row.address;
        }
        return std::nullopt;
    }
    void finish(const std::string& upstream, work_result result, instant now)
    {
        row_of& row = find(upstream);
        row.failures = result == work_result::Good ? 0 : row.failures + 1;
        const auto out = std::count_if(m_rows.begin(), m_rows.end(), [now](const row_of& it) { return it.outUntil > now; });
        const bool mayEject = static_cast<double>(out + 1) <= mostEjected * static_cast<double>(m_rows.size());
        if (row.failures < failuresAllowed || !mayEject)
            return;
        row.outUntil = now + firstHold * ++row.ejections;
        row.failures = 0;
    }
    void note(const std::string&, const std::string&, const work_sample&, instant) { }
    void tick(instant now) { m_now = now; }
    double usableCapacity(const std::string&) const
    {
        const auto in = std::count_if(m_rows.begin(), m_rows.end(), [this](const row_of& it) { return it.outUntil <= m_now; });
        return static_cast<double>(in) / static_cast<double>(m_rows.size());
    }
    bool isOut(const std::string& upstream) const
    {
        const auto found = std::find_if(m_rows.begin(), m_rows.end(), [&](const row_of& it) { return it.address == upstream; });
        return found->outUntil > m_now;
    }

private:
    static constexpr int failuresAllowed = 5;
    static constexpr double mostEjected = 0.1;
    static constexpr duration firstHold = std::chrono::seconds(30);

    struct row_of {
        std::string address;
        int failures = 0;
        instant outUntil = longAgo;
        int ejections = 0;
    };

    row_of& find(const std::string& upstream)
    {
        return *std::find_if(m_rows.begin(), m_rows.end(), [&](const row_of& it) { return it.address == upstream; });
    }

    std::vector<row_of> m_rows;
    std::size_t m_next = 0;
    instant m_now = longAgo;
};

// Sends to the less loaded, by this host's requests in flight, of two random
// upstreams and never ejects.
class two_choices_router {
public:
    void adopt(const configuration& held, instant)
    {
        for (const auto& [address, row] : held.upstreams())
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
    void finish(const std::string& upstream, work_result, instant) { --m_inFlight[upstream]; }
    void note(const std::string&, const std::string&, const work_sample&, instant) { }
    void tick(instant) { }
    double usableCapacity(const std::string&) const { return 1; }
    bool isOut(const std::string&) const { return false; }

private:
    std::vector<std::string> m_upstreams;
    std::map<std::string, int> m_inFlight;
};

} // namespace almondmoor
