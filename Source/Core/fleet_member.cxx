// Implements relay selection, messages between peers, configuration updates and proposed commands.

#include "Core/fleet_member.h"

#include "Core/command.h"
#include "Core/rendezvous.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace almondmoor {

namespace {

    constexpr std::size_t maxChangesPerMessage = 200;
    constexpr std::size_t maxSequencesPerOrigin = 64;
    constexpr std::size_t maxBootstrapPeers = 3;

    std::uint32_t ageInMs(instant at, instant now)
    {
        const auto age = std::chrono::ceil<std::chrono::milliseconds>(std::max(duration::zero(), now - at));
        return static_cast<std::uint32_t>(std::min<std::int64_t>(age.count(), UINT32_MAX));
    }

    instant instantFromAge(std::uint32_t ageMs, instant base)
    {
        return base - std::chrono::milliseconds(ageMs);
    }

} // namespace

fleet_member::fleet_member(member_settings settings)
    : m_settings(std::move(settings))
    , m_held(std::make_shared<configuration>())
    , m_freshness(m_settings.freshness)
    , m_home(m_settings.allowance, m_settings.freshness.ttl + m_settings.freshness.driftMargin)
{
}

bool fleet_member::isReachable(const std::string& host, instant now) const
{
    return host == m_settings.host || now - lastKnownAliveAt(host) <= m_settings.suspectTimeout;
}

instant fleet_member::lastKnownAliveAt(const std::string& host) const
{
    instant latest = distantPast;
    const auto peer = m_peers.find(host);
    if (peer != m_peers.end() && peer->second.lastReceivedAt)
        latest = *peer->second.lastReceivedAt;
    const auto report = m_freshness.versionReports().find(host);
    if (report != m_freshness.versionReports().end())
        latest = std::max(latest, report->second.at);
    // A host that has just joined counts as alive at that time, although nothing has been received from it yet.
    const auto joined = m_joinedAt.find(host);
    return joined == m_joinedAt.end() ? latest : std::max(latest, joined->second.at);
}

std::vector<std::string> fleet_member::relaysOf(const std::string& dataCentre, instant now) const
{
    std::vector<std::string> members;
    for (const auto& [name, member] : m_held->hosts()) {
        if (member.dataCentre == dataCentre && !member.draining)
            members.push_back(name);
    }
    auto order = rendezvousOrder("relay", std::move(members));
    std::stable_partition(order.begin(), order.end(), [&](const auto& name) { return isReachable(name, now); });
    order.resize(std::min<std::size_t>(order.size(), m_settings.relaysPerDataCentre));
    return order;
}

bool fleet_member::isRelay(instant now) const
{
    const auto relays = relaysOf(m_settings.dataCentre, now);
    return isMember() && std::find(relays.begin(), relays.end(), m_settings.host) != relays.end();
}

bool fleet_member::isRelayHost(const std::string& host, instant now) const
{
    const auto member = m_held->hosts().find(host);
    if (member == m_held->hosts().end())
        return false;
    const auto relays = relaysOf(member->second.dataCentre, now);
    return std::find(relays.begin(), relays.end(), host) != relays.end();
}

bool fleet_member::isMember() const
{
    const auto found = m_held->hosts().find(m_settings.host);
    return found != m_held->hosts().end() && found->second.incarnation == m_settings.incarnation;
}

std::vector<std::string> fleet_member::exchangePeers(instant now) const
{
    std::set<std::string> peers;
    for (const auto& name : relaysOf(m_settings.dataCentre, now))
        peers.insert(name);
    if (isRelay(now) || peers.empty()) {
        std::set<std::string> dataCentres;
        for (const auto& [name, member] : m_held->hosts())
            dataCentres.insert(member.dataCentre);
        for (const auto& dataCentre : dataCentres) {
            for (const auto& name : relaysOf(dataCentre, now))
                peers.insert(name);
        }
    }
    peers.erase(m_settings.host);
    return { peers.begin(), peers.end() };
}

outgoing_message fleet_member::addressMessage(message_kind kind, const std::string& peer, peer_message message) const
{
    const auto found = m_held->hosts().find(peer);
    std::string to = found == m_held->hosts().end() ? std::string() : found->second.peerAddress;
    return outgoing_message { kind, peer, std::move(to), std::move(message) };
}

peer_message fleet_member::makeMessage(const std::string& to, bool withVersionReports, instant now)
{
    peer_message message;
    message.sender = m_settings.host;
    message.incarnation = m_settings.incarnation;
    message.dataCentre = m_settings.dataCentre;
    message.version = m_held->version();
    message.stamp = now.time_since_epoch().count();
    const auto peer = m_peers.find(to);
    if (peer != m_peers.end()) {
        message.echo = peer->second.lastStamp;
        message.echoIncarnation = peer->second.incarnation;
    }
    if (m_freshness.storeReadAt())
        message.storeRead = relayed_store_read { true, m_freshness.storeHead(), ageInMs(*m_freshness.storeReadAt(), now) };
    for (const quarantined_request& it : m_quarantined)
        message.quarantines.push_back({ it.fingerprint, ageInMs(it.lastCrashAt, now) });
    if (!withVersionReports)
        return message;
    for (const auto& [name, report] : m_freshness.versionReports()) {
        if (name != to && now - report.at <= m_settings.freshness.ttl)
            message.versionReports.push_back(relayed_version_report { name, report.incarnation, report.version, ageInMs(report.at, now) });
    }
    return message;
}

void fleet_member::addChanges(peer_message& message, config_version after) const
{
    if (after >= m_held->version())
        return;
    const config_version oldest = m_history.empty() ? m_held->version() + 1 : m_history.front().version;
    if (after + 1 < oldest) {
        message.snapshotVersion = m_held->version();
        message.snapshot = m_held->snapshotCommands();
        return;
    }
    for (const change& entry : m_history) {
        if (entry.version > after && message.changes.size() < maxChangesPerMessage)
            message.changes.push_back(entry);
    }
}

void fleet_member::addHealthReports(peer_message& message, const std::string& to, bool ownOnly)
{
    peer_row& peer = m_peers[to];
    for (const logged_health_report& it : m_healthReports) {
        if (it.index <= peer.lastSentIndex || it.receivedFrom == to || it.report.origin == to)
            continue;
        if (!ownOnly || it.report.origin == m_settings.host)
            message.healthReports.push_back(it.report);
    }
    peer.lastSentIndex = m_nextHealthReportIndex - 1;
}

bool fleet_member::recordIfNew(const health_report& report)
{
    origin_row& origin = m_origins[report.origin];
    if (report.originIncarnation < origin.incarnation)
        return false;
    if (report.originIncarnation > origin.incarnation)
        origin = origin_row { report.originIncarnation, {} };
    const bool isTooOld = origin.recentSequences.size() >= maxSequencesPerOrigin && report.sequence < *origin.recentSequences.begin();
    if (isTooOld || !origin.recentSequences.insert(report.sequence).second)
        return false;
    if (origin.recentSequences.size() > maxSequencesPerOrigin)
        origin.recentSequences.erase(origin.recentSequences.begin());
    return true;
}

void fleet_member::logHealthReport(const health_report& report, const std::string& from)
{
    m_healthReports.push_back(logged_health_report { m_nextHealthReportIndex++, from, report });
    if (m_healthReports.size() > m_settings.maxHealthReports)
        m_healthReports.pop_front();
}

void fleet_member::handleNewConfiguration(member_effects& effects, bool wasFresh, instant now)
{
    effects.advanced = true;
    effects.wasFresh = wasFresh;
    effects.isMember = isMember();
    if (m_wasMember && !effects.isMember)
        ++m_settings.incarnation;
    m_wasMember = effects.isMember;
    m_freshness.removeNonMembers(m_held->hosts());
    std::erase_if(m_joinedAt, [this](const auto& entry) { return !m_held->hosts().count(entry.first); });
    for (const auto& [name, member] : m_held->hosts()) {
        joined_row& joined = m_joinedAt[name];
        if (joined.incarnation != member.incarnation)
            joined = joined_row { member.incarnation, now };
    }
    m_home.applyConfiguration(*m_held, m_settings.host, m_settings.incarnation, now);
    std::map<std::string, peer_message> handovers;
    for (addressed_handover& it : m_home.takeHandovers()) {
        const auto [entry, isNew] = handovers.try_emplace(it.to);
        if (isNew) {
            entry->second = makeMessage(it.to, false, now);
            const auto known = m_freshness.versionReports().find(it.to);
            if (known != m_freshness.versionReports().end())
                addChanges(entry->second, known->second.version);
        }
        entry->second.shareHandovers.push_back(std::move(it.handover));
    }
    for (auto& [name, message] : handovers)
        effects.messages.push_back(addressMessage(message_kind::Shares, name, std::move(message)));
}

bool fleet_member::applyChanges(const std::vector<change>& changes, member_effects& effects, instant now)
{
    const bool wasFresh = isFresh(now);
    std::shared_ptr<configuration> next;
    for (const change& it : changes) {
        const config_version currentVersion = next ? next->version() : m_held->version();
        if (it.version != currentVersion + 1)
            continue;
        if (!next)
            next = std::make_shared<configuration>(*m_held);
        if (!next->apply(it).ok())
            break;
        m_history.push_back(it);
        if (m_history.size() > m_settings.maxHistoryLength)
            m_history.pop_front();
    }
    if (!next || next->version() == m_held->version())
        return false;
    m_held = std::move(next);
    handleNewConfiguration(effects, wasFresh, now);
    return true;
}

member_effects fleet_member::applySnapshot(const configuration& snapshot, instant now)
{
    member_effects effects;
    if (snapshot.version() <= m_held->version())
        return effects;
    const bool wasFresh = isFresh(now);
    m_held = std::make_shared<configuration>(snapshot);
    m_history.clear();
    handleNewConfiguration(effects, wasFresh, now);
    return effects;
}

void fleet_member::pushChanges(member_effects& effects, bool toOtherDataCentres, instant now)
{
    std::set<std::string> targets;
    const bool actsAsRelay = isRelay(now);
    std::set<std::string> dataCentres;
    for (const auto& [name, member] : m_held->hosts()) {
        dataCentres.insert(member.dataCentre);
        if (actsAsRelay && member.dataCentre == m_settings.dataCentre)
            targets.insert(name);
    }
    for (const auto& dataCentre : dataCentres) {
        if (!toOtherDataCentres && dataCentre != m_settings.dataCentre)
            continue;
        for (const auto& name : relaysOf(dataCentre, now))
            targets.insert(name);
    }
    targets.erase(m_settings.host);
    for (const auto& name : targets) {
        const auto known = m_freshness.versionReports().find(name);
        const config_version peerVersion = known == m_freshness.versionReports().end() ? 0 : known->second.version;
        if (peerVersion >= m_held->version())
            continue;
        peer_message message = makeMessage(name, false, now);
        addChanges(message, peerVersion);
        effects.messages.push_back(addressMessage(message_kind::Push, name, std::move(message)));
    }
}

void fleet_member::recordTimestamps(const peer_message& message, instant now)
{
    peer_row& peer = m_peers[message.sender];
    const bool isOldIncarnation = message.incarnation < peer.incarnation;
    if (isOldIncarnation)
        return;
    if (message.incarnation > peer.incarnation)
        peer = peer_row { 0, message.incarnation, 0, std::nullopt };
    peer.lastStamp = std::max(peer.lastStamp, message.stamp);
    peer.lastReceivedAt = now;

    // Without an echo of this incarnation the message may be of any age. The sender did hold the reported version, but at
    // an unknown time, so the message cannot show that anything is recent.
    const bool hasEcho = message.echo != 0 && message.echoIncarnation == m_settings.incarnation;
    const instant sentAfter = hasEcho ? instant(duration(message.echo)) : distantPast;
    m_freshness.recordVersionReport(version_report { message.sender, message.incarnation, message.version, sentAfter });
    if (!hasEcho)
        return;
    if (message.storeRead.isKnown)
        m_freshness.recordStoreRead(instantFromAge(message.storeRead.ageMs, sentAfter), message.storeRead.head);
    for (const relayed_version_report& it : message.versionReports) {
        if (it.host != m_settings.host)
            m_freshness.recordVersionReport(version_report { it.host, it.incarnation, it.version, instantFromAge(it.ageMs, sentAfter) });
    }
}

member_effects fleet_member::receive(const peer_message& message, instant now)
{
    member_effects effects;
    if (!message.snapshot.empty() && message.snapshotVersion > m_held->version()) {
        const auto snapshot = configuration::fromSnapshot(message.snapshotVersion, message.snapshot);
        if (snapshot.ok())
            effects = applySnapshot(*snapshot, now);
    }
    applyChanges(message.changes, effects, now);
    recordTimestamps(message, now);

    for (const health_report& report : message.healthReports) {
        if (report.origin == m_settings.host || !recordIfNew(report))
            continue;
        for (const attempt_sample& sample : report.samples)
            effects.samples.push_back(remote_sample { report.origin, report.dataCentre, sample });
        logHealthReport(report, message.sender);
    }
    for (const relayed_quarantine& it : message.quarantines)
        effects.quarantined.push_back({ it.fingerprint, instantFromAge(it.ageMs, now) });
    effects.grants = message.shareGrants;
    for (const share_handover& handover : message.shareHandovers)
        m_home.acceptHandover(handover, now);
    if (effects.advanced)
        pushChanges(effects, false, now);
    return effects;
}

peer_message fleet_member::reply(const peer_message& request, instant now)
{
    peer_message message = makeMessage(request.sender, true, now);
    message.echo = request.stamp;
    message.echoIncarnation = request.incarnation;
    addChanges(message, request.version);
    if (request.wantsHealthReports)
        addHealthReports(message, request.sender, false);
    for (const share_report& report : request.shareReports) {
        if (auto grant = m_home.handleReport(request.sender, request.incarnation, report, now))
            message.shareGrants.push_back(std::move(*grant));
    }
    return message;
}

member_effects fleet_member::sendShareReports(std::vector<share_report> reports, instant now)
{
    member_effects effects;
    std::map<std::string, peer_message> byHome;
    for (share_report& report : reports) {
        const auto home = m_held->shardHomes().find(shardOf(report.team));
        if (home == m_held->shardHomes().end())
            continue;
        const std::string& name = home->second.host;
        if (name == m_settings.host) {
            if (auto grant = m_home.handleReport(name, m_settings.incarnation, report, now))
                effects.grants.push_back(std::move(*grant));
            continue;
        }
        const auto [entry, isNew] = byHome.try_emplace(name);
        if (isNew)
            entry->second = makeMessage(name, false, now);
        entry->second.shareReports.push_back(std::move(report));
    }
    for (auto& [name, message] : byHome)
        effects.messages.push_back(addressMessage(message_kind::Shares, name, std::move(message)));
    return effects;
}

member_effects fleet_member::tick(std::vector<share_report> reports, std::vector<attempt_sample> samples, instant now)
{
    if (!samples.empty())
        logHealthReport(health_report { m_settings.host, m_settings.incarnation, m_settings.dataCentre, m_nextHealthReportSequence++, std::move(samples) }, "");
    if (isConfirmed(m_held->version()))
        m_home.recordConfirmedVersion(m_held->version(), now);

    member_effects effects = sendShareReports(std::move(reports), now);
    const bool isDue = !m_exchangedAt || now - *m_exchangedAt >= m_settings.exchangeInterval;
    if (!isDue)
        return effects;
    m_exchangedAt = now;
    const bool actsAsRelay = isRelay(now);
    bool isFirst = true;
    for (const auto& name : exchangePeers(now)) {
        peer_message message = makeMessage(name, actsAsRelay, now);
        message.wantsHealthReports = actsAsRelay || isFirst;
        addHealthReports(message, name, !actsAsRelay);
        const auto known = m_freshness.versionReports().find(name);
        if (known != m_freshness.versionReports().end())
            addChanges(message, known->second.version);
        effects.messages.push_back(addressMessage(message_kind::Exchange, name, std::move(message)));
        isFirst = false;
    }
    if (m_held->hosts().empty()) {
        const std::size_t count = std::min(m_bootstrapPeers.size(), maxBootstrapPeers);
        for (std::size_t index = 0; index < count; ++index) {
            const bootstrap_peer& peer = m_bootstrapPeers[index];
            effects.messages.push_back(outgoing_message { message_kind::Exchange, peer.name, peer.address, makeMessage(peer.name, false, now) });
        }
    }
    return effects;
}

bool fleet_member::isStorePollDue(instant now) const
{
    if (m_storePolledAt && now - *m_storePolledAt < m_settings.storePollInterval)
        return false;
    if (isRelay(now) || !isMember())
        return true;
    // A host that received no confirmation within half the TTL reads the store itself.
    const auto verifiedAt = m_freshness.verifiedAt(*m_held, m_settings.host, m_settings.incarnation, now);
    return !verifiedAt || now - *verifiedAt > m_settings.freshness.ttl / 2;
}

member_effects fleet_member::applyStoreRead(instant askedAt, config_version head, const std::vector<change>& changes, instant now)
{
    member_effects effects;
    applyChanges(changes, effects, now);
    m_freshness.recordStoreRead(askedAt, head);
    if (effects.advanced)
        pushChanges(effects, true, now);
    return effects;
}

bool fleet_member::isProposer(instant now) const
{
    std::vector<std::string> candidates;
    for (const auto& [name, member] : m_held->hosts()) {
        if (!member.draining && isReachable(name, now))
            candidates.push_back(name);
    }
    // Hosts may disagree for a short time on which hosts are reachable, and so on the proposer. The store's condition on
    // the head lets only one of several proposers commit.
    const auto order = rendezvousOrder("proposer", std::move(candidates));
    return isMember() && !order.empty() && order.front() == m_settings.host;
}

std::vector<std::string> fleet_member::proposedCommands(instant now) const
{
    std::vector<std::string> commands;
    const bool canPropose = isRelay(now) && canChangeMembership() && hasReachableMajority(now) && isFresh(now);
    if (canPropose) {
        for (const auto& [name, member] : m_held->hosts()) {
            const bool isTimedOut = now - lastKnownAliveAt(name) > m_settings.removalTimeout;
            if (name != m_settings.host && isTimedOut && commands.empty())
                commands.push_back(formatCommand(leave_host { name, member.incarnation }));
        }
    }
    if (!isProposer(now) || !commands.empty())
        return commands;

    std::vector<std::string> candidates;
    for (const auto& [name, member] : m_held->hosts()) {
        if (!member.draining)
            candidates.push_back(name);
    }
    std::vector<unsigned> unassignedShards;
    for (unsigned shard = 0; shard < shardCount; ++shard) {
        const auto home = m_held->shardHomes().find(shard);
        const bool isAssigned = home != m_held->shardHomes().end();
        const auto member = isAssigned ? m_held->hosts().find(home->second.host) : m_held->hosts().end();
        const bool hasHome = member != m_held->hosts().end() && member->second.incarnation == home->second.incarnation && !member->second.draining;
        if (!hasHome)
            unassignedShards.push_back(shard);
    }
    return assignmentCommands(unassignedShards, candidates);
}

std::vector<std::string> fleet_member::assignmentCommands(const std::vector<unsigned>& shards, const std::vector<std::string>& candidates) const
{
    std::vector<std::string> commands;
    if (candidates.empty())
        return commands;
    std::map<std::string, assign_shards> byHost;
    for (const unsigned shard : shards) {
        const bool isInherited = m_held->shardHomes().count(shard) > 0;
        const std::string host = rendezvousOrder(absl::StrCat("shard/", shard), candidates).front();
        assign_shards& it = byHost[absl::StrCat(host, isInherited ? "" : " unused")];
        it.shards.push_back(shard);
        it.host = host;
        it.incarnation = m_held->hosts().at(host).incarnation;
        it.inherited = isInherited;
    }
    for (const auto& [name, it] : byHost)
        commands.push_back(formatCommand(it));
    return commands;
}

std::vector<std::string> fleet_member::handOffCommands(instant now) const
{
    std::vector<unsigned> ownShards;
    for (const auto& [shard, home] : m_held->shardHomes()) {
        if (home.host == m_settings.host && home.incarnation == m_settings.incarnation)
            ownShards.push_back(shard);
    }
    std::vector<std::string> others;
    for (const auto& [name, member] : m_held->hosts()) {
        if (name != m_settings.host && !member.draining && isReachable(name, now))
            others.push_back(name);
    }
    return assignmentCommands(ownShards, others);
}

instant fleet_member::freshUntil(instant now) const
{
    const auto verifiedAt = m_freshness.verifiedAt(*m_held, m_settings.host, m_settings.incarnation, now);
    return verifiedAt ? *verifiedAt + m_settings.freshness.ttl : distantPast;
}

bool fleet_member::isFresh(instant now) const
{
    return now <= freshUntil(now);
}

bool fleet_member::canChangeMembership() const
{
    return isConfirmed(m_held->version());
}

bool fleet_member::isConfirmed(config_version version) const
{
    return m_freshness.isConfirmed(version, *m_held, m_settings.host, m_settings.incarnation);
}

bool fleet_member::hasReachableMajority(instant now) const
{
    return m_freshness.hasReachableMajority(*m_held, m_settings.host, m_settings.incarnation, now);
}

std::size_t fleet_member::countHostsWith(config_version version) const
{
    return m_freshness.countHostsWith(version, *m_held, m_settings.host, m_settings.incarnation);
}

std::vector<std::string> fleet_member::hostsWithout(config_version version) const
{
    return m_freshness.hostsWithout(version, *m_held, m_settings.host);
}

} // namespace almondmoor
