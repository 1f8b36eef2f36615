// Implements the simulated network, store and event loop.

#include "Fleet/fake_fleet.h"

#include "Core/command.h"
#include "Core/rendezvous.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace almondmoor {

namespace {

    constexpr duration proposalInterval = std::chrono::milliseconds(300);
    constexpr duration tokenRetryInterval = std::chrono::milliseconds(10);

} // namespace

fake_fleet::fake_fleet(fleet_options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
    m_hosts.resize(m_options.hosts);
    for (unsigned host = 0; host < m_options.hosts; ++host) {
        member_settings& settings = m_hosts[host].settings;
        settings.host = absl::StrCat("h", host);
        settings.peerAddress = absl::StrCat("10.0.", host / 250, ".", host % 250 + 1, ":8082");
        settings.dataCentre = m_options.dataCentres[host % m_options.dataCentres.size()];
        if (m_options.adjust)
            m_options.adjust(settings, m_hosts[host].trafficSettings);
        m_byName[settings.host] = host;
    }
    if (m_options.startsWithMembership)
        writeInitialMembership();
    for (unsigned host = 0; host < m_options.hosts; ++host)
        start(host);
}

void fake_fleet::writeInitialMembership()
{
    std::vector<std::string> commands;
    std::vector<std::string> names;
    for (const fake_host& it : m_hosts) {
        commands.push_back(formatCommand(join_host { host { it.settings.host, 1, it.settings.peerAddress, it.settings.dataCentre, false } }));
        names.push_back(it.settings.host);
    }
    std::map<std::string, assign_shards> byHost;
    for (unsigned shard = 0; shard < shardCount; ++shard) {
        const std::string home = rendezvousOrder(absl::StrCat("shard/", shard), names).front();
        byHost[home].shards.push_back(shard);
        byHost[home] = assign_shards { byHost[home].shards, home, 1, false };
    }
    for (const auto& [name, it] : byHost)
        commands.push_back(formatCommand(it));
    config_version version = 0;
    for (const auto& command : commands) {
        const change it { absl::StrCat("c", m_nextChange++), ++version, "test", 0, command };
        (void)m_log.append(it);
    }
}

void fake_fleet::schedule(instant when, std::function<void()> run)
{
    m_events.push(event { when, m_nextEvent++, std::move(run) });
}

bool fake_fleet::randomChance(double fraction)
{
    return fraction > 0 && std::uniform_real_distribution<double>()(m_random) < fraction;
}

void fake_fleet::start(unsigned host)
{
    fake_host& it = m_hosts[host];
    ++it.startCount;
    it.isAlive = true;
    it.isPaused = false;
    it.isStoreReadPending = false;
    it.queuedEvents.clear();
    it.settings.incarnation = it.startCount;
    it.settings.allowance = it.trafficSettings.allowance;
    it.member = std::make_unique<fleet_member>(it.settings);
    it.traffic = std::make_unique<traffic_core>(it.trafficSettings, it.settings.host, it.settings.dataCentre, m_options.seed + host);
    std::vector<bootstrap_peer> peers;
    for (unsigned other = 0; other < m_hosts.size() && peers.size() < 3; ++other) {
        if (other != host && m_hosts[other].isAlive)
            peers.push_back(bootstrap_peer { m_hosts[other].settings.host, m_hosts[other].settings.peerAddress });
    }
    it.member->setBootstrapPeers(std::move(peers));
    const auto initialDelay = duration(std::uniform_int_distribution<std::int64_t>(0, m_options.tickInterval.count())(m_random));
    const unsigned startCount = it.startCount;
    schedule(m_now + initialDelay, [this, host, startCount] {
        if (m_hosts[host].startCount == startCount)
            tick(host);
    });
}

void fake_fleet::deliver(unsigned host, duration delay, std::function<void()> run)
{
    const unsigned startCount = m_hosts[host].startCount;
    schedule(m_now + delay, [this, host, startCount, run = std::move(run)] {
        fake_host& it = m_hosts[host];
        if (!it.isAlive || it.startCount != startCount)
            return;
        if (it.isPaused)
            it.queuedEvents.push_back(run);
        else
            run();
    });
}

duration fake_fleet::delayBetween(unsigned from, unsigned to)
{
    const auto& left = m_hosts[from].settings.dataCentre;
    const auto& right = m_hosts[to].settings.dataCentre;
    const duration base = left == right ? m_options.nearDelay : regionOf(left) == regionOf(right) ? m_options.regionDelay
                                                                                                  : m_options.farDelay;
    return base + duration(std::uniform_int_distribution<std::int64_t>(0, base.count() / 5)(m_random));
}

void fake_fleet::send(unsigned from, const outgoing_message& message)
{
    const auto target = m_byName.find(message.peer);
    if (target == m_byName.end())
        return;
    const unsigned to = target->second;
    ++m_totals.messages;
    ++m_totals.messagesByKind[message.kind];
    const unsigned copies = randomChance(m_options.lossFraction) ? 0 : randomChance(m_options.duplicateFraction) ? 2
                                                                                                                 : 1;
    for (unsigned copy = 0; copy < copies && !isLinkCut(from, to); ++copy) {
        deliver(to, delayBetween(from, to), [this, from, to, request = message.message] {
            handle(to, m_hosts[to].member->receive(request, m_now));
            const peer_message reply = m_hosts[to].member->reply(request, m_now);
            const unsigned replies = randomChance(m_options.lossFraction) ? 0 : randomChance(m_options.duplicateFraction) ? 2
                                                                                                                          : 1;
            for (unsigned index = 0; index < replies && !isLinkCut(to, from); ++index)
                deliver(from, delayBetween(to, from), [this, from, reply] { handle(from, m_hosts[from].member->receive(reply, m_now)); });
        });
    }
}

void fake_fleet::handle(unsigned host, const member_effects& effects)
{
    fake_host& it = m_hosts[host];
    if (effects.advanced)
        it.traffic->applyConfiguration(it.member->held(), effects.wasFresh, effects.isMember, m_now);
    it.traffic->setFreshUntil(it.member->freshUntil(m_now));
    for (const share_grant& grant : effects.grants)
        it.traffic->holder().applyGrant(grant, m_now);
    for (const remote_sample& sample : effects.samples)
        it.traffic->recordRemoteSample(sample.host, sample.dataCentre, sample.sample, m_now);
    for (const quarantined_request& request : effects.quarantined)
        it.traffic->recordRemoteQuarantine(request, m_now);
    for (const outgoing_message& message : effects.messages)
        send(host, message);
}

void fake_fleet::tick(unsigned host)
{
    fake_host& it = m_hosts[host];
    if (!it.isAlive || it.isPaused)
        return;
    it.traffic->tick(m_now);
    it.member->setQuarantinedRequests(it.traffic->quarantinedRequests(m_now));
    handle(host, it.member->tick(it.traffic->holder().dueReports(m_now), it.traffic->takeSamples(), m_now));
    pollStore(host);
    propose(host);
    const unsigned startCount = it.startCount;
    schedule(m_now + m_options.tickInterval, [this, host, startCount] {
        if (m_hosts[host].startCount == startCount)
            tick(host);
    });
}

void fake_fleet::pollStore(unsigned host)
{
    fake_host& it = m_hosts[host];
    if (it.isStoreReadPending || !it.member->isStorePollDue(m_now))
        return;
    it.isStoreReadPending = true;
    it.member->recordStorePoll(m_now);
    ++m_totals.storeReads;
    const instant askedAt = m_now;
    const config_version after = it.member->held()->version();
    const bool isReachable = m_storeCuts.count(host) == 0;
    const auto found = m_log.readAfter(after);
    deliver(host, m_options.regionDelay * 2, [this, host, askedAt, found, isReachable] {
        m_hosts[host].isStoreReadPending = false;
        if (isReachable && found.outcome == call_outcome::Done)
            handle(host, m_hosts[host].member->applyStoreRead(askedAt, found.value.head, found.value.changes, m_now));
    });
}

void fake_fleet::propose(unsigned host)
{
    fake_host& it = m_hosts[host];
    const bool cannotPropose = m_isStoreUnavailable || m_storeCuts.count(host) > 0 || m_now - it.proposedAt < proposalInterval || !it.member->freshnessState().storeReadAt();
    if (cannotPropose)
        return;
    std::vector<std::string> commands;
    if (!it.member->isMember()) {
        if (it.member->canChangeMembership())
            commands.push_back(formatCommand(join_host { almondmoor::host { it.settings.host, it.member->incarnation(), it.settings.peerAddress, it.settings.dataCentre, false } }));
    } else {
        commands = it.member->proposedCommands(m_now);
    }
    if (commands.empty())
        return;
    it.proposedAt = m_now;
    for (const auto& command : commands) {
        if (!commit(host, command))
            return;
    }
}

bool fake_fleet::commit(unsigned host, const std::string& command)
{
    if (m_storeCuts.count(host))
        return false;
    const auto held = m_hosts[host].member->held();
    if (!held->check(command).ok())
        return false;
    const change it { absl::StrCat("c", m_nextChange++), held->version() + 1, "test", 0, command };
    const instant askedAt = m_now;
    if (m_log.append(it).outcome != append_outcome::Accepted)
        return false;
    handle(host, m_hosts[host].member->applyStoreRead(askedAt, held->version(), { it }, m_now));
    return true;
}

bool fake_fleet::isAccepted(unsigned host, config_version version)
{
    return m_hosts[host].member->held()->version() >= version && m_hosts[host].member->isConfirmed(version);
}

void fake_fleet::run(duration span)
{
    const instant end = m_now + span;
    while (!m_events.empty() && m_events.top().at <= end) {
        const event next = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, next.at);
        next.run();
    }
    m_now = end;
}

bool fake_fleet::runUntil(const std::function<bool()>& condition, duration limit)
{
    const instant end = m_now + limit;
    while (m_now < end) {
        if (condition())
            return true;
        run(std::chrono::milliseconds(10));
    }
    return condition();
}

void fake_fleet::pause(unsigned host)
{
    m_hosts[host].isPaused = true;
}

void fake_fleet::resume(unsigned host)
{
    fake_host& it = m_hosts[host];
    it.isPaused = false;
    const auto queued = std::move(it.queuedEvents);
    it.queuedEvents.clear();
    for (const auto& run : queued)
        run();
    tick(host);
}

void fake_fleet::kill(unsigned host)
{
    m_hosts[host].isAlive = false;
}

void fake_fleet::restart(unsigned host)
{
    start(host);
}

void fake_fleet::healAll()
{
    m_cuts.clear();
    m_storeCuts.clear();
}

void fake_fleet::setStoreUnavailable(bool isUnavailable)
{
    m_isStoreUnavailable = isUnavailable;
    m_platform.setFaults(platform_faults { isUnavailable, 0 });
}

void fake_fleet::request(unsigned host, const std::string& team)
{
    fake_host& it = m_hosts[host];
    m_arrived[team].push_back(m_now);
    const bool canServe = it.isAlive && !it.isPaused && it.traffic->isFresh(m_now);
    if (!canServe) {
        ++m_refused[team];
        return;
    }
    if (it.traffic->admit(team, m_now) == admission::Admitted) {
        m_admitted[team].push_back(m_now);
        return;
    }
    handle(host, it.member->sendShareReports(it.traffic->holder().dueReports(m_now), m_now));
    awaitToken(host, team, m_now + m_options.tokenWait);
}

void fake_fleet::awaitToken(unsigned host, const std::string& team, instant deadline)
{
    fake_host& it = m_hosts[host];
    // A paused or killed host admits nothing. A check after the deadline does not count.
    if (it.isAlive && !it.isPaused && it.traffic->isFresh(m_now) && it.traffic->admitWaiting(team, m_now)) {
        m_admitted[team].push_back(m_now);
        it.traffic->stopWaiting(team);
        return;
    }
    if (m_now >= deadline) {
        ++m_refused[team];
        it.traffic->stopWaiting(team);
        return;
    }
    schedule(m_now + tokenRetryInterval, [this, host, team, deadline] { awaitToken(host, team, deadline); });
}

void fake_fleet::clearCounts()
{
    m_arrived.clear();
    m_admitted.clear();
    m_refused.clear();
    m_totals = traffic_totals {};
}

std::uint64_t fake_fleet::countRefusedBySingleBucket(const std::vector<instant>& arrivals, double ratePerSecond, double burst)
{
    share bucket { ratePerSecond, burst, burst, arrivals.empty() ? distantPast : arrivals.front() };
    return static_cast<std::uint64_t>(std::count_if(arrivals.begin(), arrivals.end(), [&bucket](instant at) { return !bucket.take(at); }));
}

bool fake_fleet::conformsToRate(const std::vector<instant>& admissions, double ratePerSecond, double burst)
{
    constexpr double rounding = 1e-3;
    double level = 0;
    instant last = distantPast;
    for (const instant at : admissions) {
        if (last != distantPast)
            level = std::max(0.0, level - ratePerSecond * toSeconds(at - last));
        last = at;
        level += 1;
        if (level > burst + rounding)
            return false;
    }
    return true;
}

} // namespace almondmoor
