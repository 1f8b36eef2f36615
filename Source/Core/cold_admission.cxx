#include "Core/cold_admission.h"

#include "Core/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace almondmoor {

namespace {

    // A request is sent at most this long after the choice of its upstream: the longest time to connect, with a margin.
    // In a window of one second lie the sends of choices in a window of this length.
    constexpr duration choiceWindow = std::chrono::milliseconds(1250);
    // Fraction of the tolerated requests that the hosts of one membership use.
    constexpr double usedFraction = 0.5;
    // A data centre with fewer hosts gets help from others.
    constexpr unsigned minHosts = 2;
    constexpr duration maxInterval = std::chrono::hours(1);
    // A host tells the others of an upstream out of reach at most this often.
    constexpr duration neighbourNewsInterval = std::chrono::milliseconds(300);
    constexpr duration fleetNewsInterval = std::chrono::seconds(1);
    // Number and fraction of the upstreams in one data centre that are out of reach at once, from which on
    // all upstreams of that data centre are suspected.
    constexpr unsigned minFailedCompanions = 3;
    constexpr double failedFraction = 1.0 / 3;
    // A suspicion is renewed for a whole data centre only if that lengthens it by at least this much.
    constexpr duration renewalStep = std::chrono::seconds(1);
    // Upstreams of a data centre that went down together are noticed within this time of each other.
    constexpr duration companionWindow = std::chrono::seconds(3);
    constexpr std::size_t maxChanges = 256;
    constexpr double maxPerSecond = 1e6;

} // namespace

void cold_admission::setServices(const std::map<std::string, service_config, std::less<>>& services, instant now)
{
    m_limits.clear();
    for (const auto& [name, service] : services) {
        if (service.coldStart <= duration::zero() || service.warmupPerSecond <= 0)
            continue;
        const double tolerated = std::floor(std::min(maxPerSecond, service.warmupPerSecond * m_settings.overage + m_settings.slack));
        m_limits[name] = { service.coldStart, service.warmupPerSecond, static_cast<unsigned>(std::max(0.0, tolerated * usedFraction)) };
    }
    std::erase_if(m_rows, [this](const auto& item) { return !limitOf(item.second.upstream.service); });
    ++m_membershipRevision;
    // The directory may have come before the configuration.
    for (const auto& [id, known] : m_known) {
        if (known.coldUntil <= now)
            continue;
        if (row* it = rowFor(id)) {
            it->coldUntil = known.coldUntil;
            updateState(id, *it, now);
        }
    }
}

void cold_admission::setMembers(const host_map& members, instant now)
{
    if (!m_memberships.empty() && m_memberships.back().members == members)
        return;
    // A host that has just started counts as having been no member.
    if (m_memberships.empty())
        m_memberships.emplace_back();
    m_memberships.back().replacedAt = now;
    std::erase_if(m_memberships, [&](const member_set& it) { return it.replacedAt + m_settings.settleTime <= now; });
    m_memberships.push_back({ members, distantPast });
    ++m_membershipRevision;
}

void cold_admission::apply(const upstream_directory& directory, instant now)
{
    std::erase_if(m_known, [&directory](const auto& item) { return !directory.count(item.first); });
    std::erase_if(m_rows, [&directory](const auto& item) { return !directory.count(item.first); });
    for (const auto& [id, entry] : directory) {
        const auto [place, isNew] = m_known.try_emplace(id);
        known_upstream& known = place->second;
        const bool isSameRow = !isNew && known.rowVersion == entry.rowVersion && known.startedAtUnixMs == entry.startedAtUnixMs;
        const bool isOtherStart = !isNew && known.startedAtUnixMs != entry.startedAtUnixMs;
        if (isSameRow && entry.rowVersion != 0)
            continue;
        known = { entry.service, entry.dataCentre, entry.rowVersion, entry.startedAtUnixMs, entry.coldUntil };
        if (!limitOf(entry.service))
            continue;
        const auto found = m_rows.find(id);
        if (found == m_rows.end() && entry.coldUntil <= now)
            continue;
        row& it = found == m_rows.end() ? m_rows[id] : found->second;
        it.upstream = known;
        // The row of a new process was written by that process.
        const bool provesState = isOtherStart || now >= it.suspectedAt + m_settings.maxRowAge;
        if (provesState)
            it.suspectedUntil = std::min(it.suspectedUntil, now);
        it.coldUntil = entry.coldUntil;
        updateState(id, it, now);
    }
}

const cold_admission::service_limit* cold_admission::limitOf(const std::string& service) const
{
    const auto found = m_limits.find(service);
    return found == m_limits.end() ? nullptr : &found->second;
}

cold_admission::row* cold_admission::rowFor(const std::string& id)
{
    if (m_limits.empty())
        return nullptr;
    const auto known = m_known.find(id);
    if (known == m_known.end() || !limitOf(known->second.service))
        return nullptr;
    row& it = m_rows[id];
    it.upstream = known->second;
    return &it;
}

double cold_admission::hostFraction(const std::string& id) const
{
    return static_cast<double>(stableHash(m_host, stableHash(id))) / (static_cast<double>(std::numeric_limits<std::uint64_t>::max()) + 1);
}

instant cold_admission::endOfColdTime(const std::string& id, const row& it) const
{
    const instant end = std::max(it.coldUntil, it.suspectedUntil);
    return end == distantPast ? end : end + fromSeconds(toSeconds(m_settings.resumeSpread) * hostFraction(id));
}

void cold_admission::updateState(const std::string& id, row& it, instant now)
{
    const cold_state state = now < it.coldUntil ? cold_state::Cold : now < it.suspectedUntil ? cold_state::Suspected
                                                                                             : cold_state::Warm;
    if (state == it.state)
        return;
    if (it.state == cold_state::Warm) {
        // Hosts that use a place begin at different times.
        it.part.validUntil = distantPast;
        const service_limit* limit = limitOf(it.upstream.service);
        const duration interval = limit ? partOf(id, it, *limit, now).interval : duration::zero();
        it.nextUseAt = std::max(it.nextUseAt, now + fromSeconds(toSeconds(std::min<duration>(interval, choiceWindow)) * hostFraction(id)));
    }
    it.state = state;
    addChange(id, state);
}

void cold_admission::addChange(const std::string& id, cold_state state)
{
    if (m_changes.size() < maxChanges)
        m_changes.push_back({ id, state });
}

void cold_admission::recordResult(const std::string& id, attempt_result result, duration latency, instant now)
{
    if (result == attempt_result::Unreachable || result == attempt_result::Crashed) {
        if (row* it = rowFor(id))
            recordFailure(id, *it, m_host, result == attempt_result::Unreachable, now);
        return;
    }
    if (result != attempt_result::Good && result != attempt_result::Shed)
        return;
    const auto found = m_rows.find(id);
    if (found == m_rows.end())
        return;
    row& it = found->second;
    const instant startedAt = now - latency;
    std::erase_if(it.evidence, [startedAt](const auto& item) { return item.second.at < startedAt; });
    if (now >= it.suspectedUntil || it.hasSucceeded || startedAt < it.suspectedAt)
        return;
    // The upstream started before this result, if it restarted.
    it.hasSucceeded = true;
    it.suspectedUntil = now + m_limits.find(it.upstream.service)->second.coldStart;
}

void cold_admission::recordRemoteFailure(const std::string& id, const std::string& host, bool isUnreachable, instant now)
{
    if (row* it = rowFor(id))
        recordFailure(id, *it, host, isUnreachable, now);
}

void cold_admission::recordFailure(const std::string& id, row& it, const std::string& host, bool isUnreachable, instant now)
{
    std::erase_if(it.evidence, [&](const auto& item) { return item.second.at + m_settings.evidenceTtl <= now; });
    failure_evidence& evidence = it.evidence[host];
    evidence.at = now;
    evidence.connectFailures += isUnreachable ? 1 : 0;
    // A connection that broke tells of a restart only together with a failure to connect.
    const bool isOutOfReach = std::any_of(it.evidence.begin(), it.evidence.end(), [](const auto& item) { return item.second.connectFailures > 0; });
    const auto own = it.evidence.find(m_host);
    const bool isConfirmed = isOutOfReach && it.evidence.size() > 1;
    if (isConfirmed || (own != it.evidence.end() && own->second.connectFailures > 1))
        suspect(id, it, now);
    if (host != m_host)
        return;
    if (isConfirmed && now - it.toldFleetAt >= fleetNewsInterval) {
        it.toldFleetAt = now;
        m_news.suspected.push_back(id);
    } else if (isUnreachable && !isConfirmed && now - it.toldNeighboursAt >= neighbourNewsInterval) {
        it.toldNeighboursAt = now;
        m_news.unreachable.push_back(id);
    }
}

void cold_admission::recordRemoteSuspicion(const std::string& id, instant now)
{
    row* it = rowFor(id);
    if (!it)
        return;
    // Another host has told the fleet; a word from each host would load the links between regions.
    it->toldFleetAt = now;
    suspect(id, *it, now);
}

void cold_admission::setSuspicion(const std::string& id, row& it, instant until, instant now)
{
    it.suspectedAt = now;
    it.hasSucceeded = false;
    it.suspectedUntil = std::max(it.suspectedUntil, until);
    updateState(id, it, now);
}

void cold_admission::suspect(const std::string& id, row& it, instant now)
{
    const duration coldStart = m_limits.find(it.upstream.service)->second.coldStart;
    it.failedAt = now;
    setSuspicion(id, it, now + coldStart + m_settings.maxRowAge + m_settings.maxAttemptGap, now);
    suspectCompanions(known_upstream(it.upstream), now);
}

void cold_admission::suspectCompanions(const known_upstream& upstream, instant now)
{
    const auto isCompanion = [&](const known_upstream& it) { return it.dataCentre == upstream.dataCentre && limitOf(it.service); };
    const auto hasFailed = [&](const auto& item) { return isCompanion(item.second.upstream) && now - item.second.failedAt <= companionWindow && !item.second.hasSucceeded; };
    const auto failed = std::count_if(m_rows.begin(), m_rows.end(), hasFailed);
    if (failed < minFailedCompanions)
        return;
    const auto all = std::count_if(m_known.begin(), m_known.end(), [&](const auto& item) { return isCompanion(item.second); });
    if (static_cast<double>(failed) < failedFraction * static_cast<double>(all))
        return;
    const duration coldStart = m_limits.find(upstream.service)->second.coldStart;
    suspectDataCentre(upstream.dataCentre, now + coldStart + m_settings.maxRowAge + m_settings.maxAttemptGap, now);
}

void cold_admission::recordReturn(const std::string& dataCentre, instant now)
{
    duration longestColdStart {};
    for (const auto& [service, limit] : m_limits)
        longestColdStart = std::max(longestColdStart, limit.coldStart);
    suspectDataCentre(dataCentre, now + longestColdStart + m_settings.maxRowAge, now);
}

void cold_admission::suspectDataCentre(const std::string& dataCentre, instant until, instant now)
{
    for (const auto& [id, known] : m_known) {
        if (known.dataCentre != dataCentre)
            continue;
        row* it = rowFor(id);
        // An upstream that has responded since has its own end.
        const bool hasEnd = it && it->hasSucceeded && now < it->suspectedUntil;
        if (it && !hasEnd && it->suspectedUntil + renewalStep < until)
            setSuspicion(id, *it, until, now);
    }
}

bool cold_admission::isCold(const std::string& id, instant now) const
{
    const auto found = m_rows.find(id);
    return found != m_rows.end() && now < endOfColdTime(id, found->second);
}

instant cold_admission::nextUse(const std::string& id, instant now)
{
    const auto found = m_rows.find(id);
    if (found == m_rows.end())
        return now;
    row& it = found->second;
    const instant end = endOfColdTime(id, it);
    const service_limit* limit = limitOf(it.upstream.service);
    if (!limit || now >= end)
        return now;
    const host_part& part = partOf(id, it, *limit, now);
    return part.isChosen ? std::min(end, std::max(now, it.nextUseAt)) : end;
}

bool cold_admission::recordUse(const std::string& id, instant now)
{
    const auto found = m_rows.find(id);
    if (found == m_rows.end())
        return false;
    row& it = found->second;
    const service_limit* limit = limitOf(it.upstream.service);
    if (!limit || now >= endOfColdTime(id, it))
        return false;
    it.nextUseAt = now + partOf(id, it, *limit, now).interval;
    return true;
}

unsigned cold_admission::tierOf(const std::string& dataCentre, const std::string& other) const
{
    if (dataCentre == other)
        return 0;
    return isSameRegion(m_regions, dataCentre, other) ? 1 : 2;
}

unsigned cold_admission::placesIn(const host_map& members, const known_upstream& upstream, const service_limit& limit) const
{
    const auto near = std::count_if(members.begin(), members.end(), [&](const auto& it) { return it.second == upstream.dataCentre; });
    return std::min({ limit.perSecond, std::max(minHosts, static_cast<unsigned>(near)), static_cast<unsigned>(members.size()) });
}

bool cold_admission::hasPlace(const host_map& members, const std::string& id, const known_upstream& upstream, unsigned places) const
{
    const auto own = members.find(m_host);
    if (own == members.end())
        return false;
    const std::uint64_t seed = stableHash(id);
    const auto rankOf = [&](const auto& it) { return std::pair(tierOf(upstream.dataCentre, it.second), stableHash(it.first, seed)); };
    const auto ownRank = rankOf(*own);
    const auto earlier = std::count_if(members.begin(), members.end(), [&](const auto& it) { return rankOf(it) < ownRank; });
    return static_cast<unsigned>(earlier) < places;
}

const cold_admission::host_part& cold_admission::partOf(const std::string& id, row& it, const service_limit& limit, instant now)
{
    host_part& part = it.part;
    if (part.membershipRevision == m_membershipRevision && now < part.validUntil)
        return part;
    part = { !m_memberships.empty(), maxInterval, instant::max(), m_membershipRevision };
    unsigned places = 0;
    for (const member_set& membership : m_memberships) {
        const bool isPresent = &membership == &m_memberships.back();
        if (!isPresent && membership.replacedAt + m_settings.settleTime <= now)
            continue;
        places = placesIn(membership.members, it.upstream, limit);
        part.isChosen = part.isChosen && hasPlace(membership.members, id, it.upstream, places);
        if (!isPresent)
            part.validUntil = std::min(part.validUntil, membership.replacedAt + m_settings.settleTime);
    }
    if (places > 0) {
        const duration shortest = choiceWindow / (limit.perSecond / places);
        const duration usual = fromSeconds(std::min(toSeconds(maxInterval), places / limit.rate));
        part.interval = std::max(shortest, usual);
    }
    return part;
}

void cold_admission::expire(instant now)
{
    for (auto place = m_rows.begin(); place != m_rows.end();) {
        row& it = place->second;
        std::erase_if(it.evidence, [&](const auto& item) { return item.second.at + m_settings.evidenceTtl <= now; });
        // The last use counts until its interval has passed, in case the upstream turns cold again.
        if (now < endOfColdTime(place->first, it) || now < it.nextUseAt || !it.evidence.empty()) {
            updateState(place->first, it, now);
            ++place;
            continue;
        }
        if (it.state != cold_state::Warm)
            addChange(place->first, cold_state::Warm);
        place = m_rows.erase(place);
    }
}

std::size_t cold_admission::coldCount(instant now) const
{
    return static_cast<std::size_t>(std::count_if(m_rows.begin(), m_rows.end(), [&](const auto& item) { return now < endOfColdTime(item.first, item.second); }));
}

} // namespace almondmoor
