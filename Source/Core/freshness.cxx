// Implements the freshness rule: store reads, version reports and majorities of the membership.

#include "Core/freshness.h"

#include <algorithm>
#include <functional>

namespace almondmoor {

namespace {

    std::size_t majorityOf(std::size_t hosts)
    {
        return hosts / 2 + 1;
    }

} // namespace

void freshness::recordStoreRead(instant askedAt, config_version head)
{
    if (m_storeReadAt && askedAt <= *m_storeReadAt)
        return;
    m_storeReadAt = askedAt;
    m_storeHead = head;
}

void freshness::recordVersionReport(const version_report& report)
{
    const auto [entry, isNew] = m_versionReports.try_emplace(report.host, report);
    auto& known = entry->second;
    if (isNew || report.incarnation < known.incarnation)
        return;
    if (report.incarnation > known.incarnation) {
        known = report;
        return;
    }
    // The version on a host never decreases. So the pair of the latest instant and the highest version, even if taken from
    // different reports, is consistent: at that instant the host held at most that version, and it holds at least that
    // version now.
    known.at = std::max(known.at, report.at);
    known.version = std::max(known.version, report.version);
}

void freshness::removeNonMembers(const std::map<std::string, host>& members)
{
    std::erase_if(m_versionReports, [&members](const auto& entry) { return !members.count(entry.first); });
}

std::optional<instant> freshness::verifiedAt(const configuration& held, const std::string& self, std::uint64_t selfIncarnation, instant now) const
{
    std::optional<instant> best;
    if (m_storeReadAt && m_storeHead <= held.version())
        best = m_storeReadAt;

    if (!m_settings.countVersionReports)
        return best;

    std::vector<instant> confirmations;
    for (const auto& [name, member] : held.hosts()) {
        if (name == self && member.incarnation == selfIncarnation) {
            confirmations.push_back(now);
            continue;
        }
        const auto found = m_versionReports.find(name);
        if (found != m_versionReports.end() && found->second.incarnation == member.incarnation && found->second.version <= held.version())
            confirmations.push_back(found->second.at);
    }
    const std::size_t needed = majorityOf(held.hosts().size());
    if (confirmations.size() < needed)
        return best;
    std::nth_element(confirmations.begin(), confirmations.begin() + static_cast<std::ptrdiff_t>(needed - 1), confirmations.end(), std::greater<>());
    const instant byQuorum = confirmations[needed - 1];
    return best ? std::max(*best, byQuorum) : byQuorum;
}

bool freshness::isFresh(const configuration& held, const std::string& self, std::uint64_t selfIncarnation, instant now) const
{
    const auto verified = verifiedAt(held, self, selfIncarnation, now);
    return verified && now - *verified <= m_settings.ttl;
}

std::size_t freshness::countHostsWith(config_version version, const configuration& held, const std::string& self, std::uint64_t selfIncarnation) const
{
    std::size_t holders = 0;
    for (const auto& [name, member] : held.hosts()) {
        if (name == self && member.incarnation == selfIncarnation) {
            holders += held.version() >= version ? 1 : 0;
            continue;
        }
        const auto found = m_versionReports.find(name);
        if (found != m_versionReports.end() && found->second.incarnation == member.incarnation && found->second.version >= version)
            ++holders;
    }
    return holders;
}

bool freshness::isConfirmed(config_version version, const configuration& held, const std::string& self, std::uint64_t selfIncarnation) const
{
    if (held.hosts().empty())
        return held.version() >= version;
    return countHostsWith(version, held, self, selfIncarnation) >= majorityOf(held.hosts().size());
}

bool freshness::hasReachableMajority(const configuration& held, const std::string& self, std::uint64_t selfIncarnation, instant now) const
{
    if (held.hosts().empty())
        return true;
    std::size_t reachable = 0;
    for (const auto& [name, member] : held.hosts()) {
        const auto found = m_versionReports.find(name);
        const bool isSelf = name == self && member.incarnation == selfIncarnation;
        const bool isRecent = found != m_versionReports.end() && found->second.incarnation == member.incarnation && now - found->second.at <= m_settings.ttl;
        reachable += isSelf || isRecent ? 1 : 0;
    }
    return reachable >= majorityOf(held.hosts().size());
}

std::vector<std::string> freshness::hostsWithout(config_version version, const configuration& held, const std::string& self) const
{
    std::vector<std::string> names;
    for (const auto& [name, member] : held.hosts()) {
        const auto found = m_versionReports.find(name);
        const bool holds = name == self ? held.version() >= version : found != m_versionReports.end() && found->second.version >= version;
        if (!holds)
            names.push_back(name);
    }
    return names;
}

} // namespace almondmoor
