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

void freshness::noteStoreRead(instant askedAt, config_version head)
{
    if (m_storeReadAt && askedAt <= *m_storeReadAt)
        return;
    m_storeReadAt = askedAt;
    m_storeHead = head;
}

void freshness::noteStatement(const version_statement& it)
{
    const auto [entry, isNew] = m_statements.try_emplace(it.host, it);
    auto& known = entry->second;
    if (isNew || it.incarnation < known.incarnation)
        return;
    if (it.incarnation > known.incarnation) {
        known = it;
        return;
    }
    // Versions only rise on a host, so the latest instant and the greatest
    // version together still bound what it held: "at most this, then or later".
    known.at = std::max(known.at, it.at);
    known.version = std::max(known.version, it.version);
}

void freshness::forgetOthersThan(const std::map<std::string, host>& roster)
{
    std::erase_if(m_statements, [&roster](const auto& entry) { return !roster.count(entry.first); });
}

std::optional<instant> freshness::evidenceAt(const configuration& held, const std::string& self, std::uint64_t selfIncarnation, instant now) const
{
    std::optional<instant> best;
    if (m_storeReadAt && m_storeHead <= held.version())
        best = m_storeReadAt;

    if (!m_limits.countStatements)
        return best;

    std::vector<instant> heard;
    for (const auto& [name, member] : held.hosts()) {
        if (name == self && member.incarnation == selfIncarnation) {
            heard.push_back(now);
            continue;
        }
        const auto found = m_statements.find(name);
        if (found != m_statements.end() && found->second.incarnation == member.incarnation && found->second.version <= held.version())
            heard.push_back(found->second.at);
    }
    const std::size_t needed = majorityOf(held.hosts().size());
    if (heard.size() < needed)
        return best;
    std::nth_element(heard.begin(), heard.begin() + static_cast<std::ptrdiff_t>(needed - 1), heard.end(), std::greater<>());
    const instant byQuorum = heard[needed - 1];
    return best ? std::max(*best, byQuorum) : byQuorum;
}

bool freshness::isFresh(const configuration& held, const std::string& self, std::uint64_t selfIncarnation, instant now) const
{
    const auto evidence = evidenceAt(held, self, selfIncarnation, now);
    return evidence && now - *evidence <= m_limits.limit;
}

std::size_t freshness::holdersOf(config_version version, const configuration& held, const std::string& self, std::uint64_t selfIncarnation) const
{
    std::size_t holders = 0;
    for (const auto& [name, member] : held.hosts()) {
        if (name == self && member.incarnation == selfIncarnation) {
            holders += held.version() >= version ? 1 : 0;
            continue;
        }
        const auto found = m_statements.find(name);
        if (found != m_statements.end() && found->second.incarnation == member.incarnation && found->second.version >= version)
            ++holders;
    }
    return holders;
}

bool freshness::isConfirmed(config_version version, const configuration& held, const std::string& self, std::uint64_t selfIncarnation) const
{
    if (held.hosts().empty())
        return held.version() >= version;
    return holdersOf(version, held, self, selfIncarnation) >= majorityOf(held.hosts().size());
}

bool freshness::hasReachableMajority(const configuration& held, const std::string& self, std::uint64_t selfIncarnation, instant now) const
{
    if (held.hosts().empty())
        return true;
    std::size_t reachable = 0;
    for (const auto& [name, member] : held.hosts()) {
        const auto found = m_statements.find(name);
        const bool isSelf = name == self && member.incarnation == selfIncarnation;
        const bool isHeard = found != m_statements.end() && found->second.incarnation == member.incarnation && now - found->second.at <= m_limits.limit;
        reachable += isSelf || isHeard ? 1 : 0;
    }
    return reachable >= majorityOf(held.hosts().size());
}

std::vector<std::string> freshness::hostsWithout(config_version version, const configuration& held, const std::string& self) const
{
    std::vector<std::string> names;
    for (const auto& [name, member] : held.hosts()) {
        const auto found = m_statements.find(name);
        const bool holds = name == self ? held.version() >= version : found != m_statements.end() && found->second.version >= version;
        if (!holds)
            names.push_back(name);
    }
    return names;
}

} // namespace almondmoor
