#include "Core/fleet_quarantine.h"

#include <algorithm>
#include <iterator>

namespace almondmoor {

namespace {

    // Adds those requests that are not listed yet.
    void addMissing(std::vector<quarantined_request>& list, const std::vector<quarantined_request>& requests)
    {
        for (const quarantined_request& it : requests) {
            const auto isSame = [&it](const quarantined_request& other) { return other.fingerprint == it.fingerprint; };
            if (std::none_of(list.begin(), list.end(), isSame))
                list.push_back(it);
        }
    }

} // namespace

void fleet_quarantine::recordCrash(std::uint64_t fingerprint, const std::string& upstream, instant now)
{
    crash_row& it = m_crashes[fingerprint];
    it.lastCrashAt = now;
    if (!it.upstreams.insert(upstream).second)
        return;
    if (!m_quarantine.recordCrash(fingerprint, now))
        return;
    m_forNeighbours.push_back({ fingerprint, now });
    m_forDataCentres.push_back({ fingerprint, now });
    m_changes.push_back({ fingerprint, quarantine_source::Crashes, {} });
}

bool fleet_quarantine::record(const quarantined_request& it, quarantine_source source, instant now)
{
    if (!m_quarantine.recordQuarantine(it, now))
        return false;
    m_changes.push_back({ it.fingerprint, source, now - it.lastCrashAt });
    return true;
}

void fleet_quarantine::recordFromNeighbour(const std::vector<quarantined_request>& told, instant now)
{
    for (const quarantined_request& it : told)
        record(it, quarantine_source::Neighbour, now);
}

void fleet_quarantine::recordFromDataCentre(const std::vector<quarantined_request>& told, instant now)
{
    for (const quarantined_request& it : told) {
        if (record(it, quarantine_source::DataCentre, now))
            m_forNeighbours.push_back(it);
    }
}

duration fleet_quarantine::nextInterval(unsigned hosts)
{
    const duration mean = std::max(m_settings.minRepeatInterval, m_settings.repeatIntervalPerHost * hosts);
    // Hosts that learned of a quarantine at one moment don't tell it again at one moment.
    return std::chrono::duration_cast<duration>(mean * std::uniform_real_distribution<double>(0.5, 1.5)(m_random));
}

std::vector<quarantined_request> fleet_quarantine::chooseRepeated(instant now)
{
    const std::vector<quarantined_request> all = m_quarantine.quarantinedRequests(now);
    std::vector<quarantined_request> chosen;
    std::sample(all.begin(), all.end(), std::back_inserter(chosen), m_settings.maxRepeated, m_random);
    return chosen;
}

std::vector<quarantined_request> fleet_quarantine::takeForNeighbours(unsigned hosts, instant now)
{
    if (now >= m_repeatAt) {
        m_repeatAt = now + nextInterval(hosts);
        const std::vector<quarantined_request> repeated = chooseRepeated(now);
        addMissing(m_forNeighbours, repeated);
        addMissing(m_forDataCentres, repeated);
    }
    return std::exchange(m_forNeighbours, {});
}

void fleet_quarantine::tick(instant now)
{
    m_quarantine.tick(now);
    std::erase_if(m_crashes, [&](const auto& it) { return now - it.second.lastCrashAt > m_settings.crashTtl; });
}

} // namespace almondmoor
