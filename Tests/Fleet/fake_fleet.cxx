#include "Fleet/fake_fleet.h"

#include "Core/command.h"
#include "Core/rendezvous.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace almondmoor {

namespace {

    constexpr duration proposalInterval = std::chrono::milliseconds(300);
    constexpr duration tokenRetry = std::chrono::milliseconds(10);

} // namespace

fake_fleet::fake_fleet(fleet_options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
    m_nodes.resize(m_options.hosts);
    for (unsigned host = 0; host < m_options.hosts; ++host) {
        member_settings& settings = m_nodes[host].settings;
        settings.host = absl::StrCat("h", host);
        settings.peerAddress = absl::StrCat("10.0.", host / 250, ".", host % 250 + 1, ":8082");
        settings.dataCentre = m_options.dataCentres[host % m_options.dataCentres.size()];
        if (m_options.adjust)
            m_options.adjust(settings, m_nodes[host].trafficSettings);
        m_byName[settings.host] = host;
    }
    if (m_options.isPreformed)
        writeRoster();
    for (unsigned host = 0; host < m_options.hosts; ++host)
        start(host);
}

void fake_fleet::writeRoster()
{
    std::vector<std::string> commands;
    std::vector<std::string> names;
    for (const node& it : m_nodes) {
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

void fake_fleet::at(instant when, std::function<void()> run)
{
    m_events.push(event { when, m_nextEvent++, std::move(run) });
}

bool fake_fleet::draw(double part)
{
    return part > 0 && std::uniform_real_distribution<double>()(m_random) < part;
}

void fake_fleet::start(unsigned host)
{
    node& it = m_nodes[host];
    ++it.life;
    it.isAlive = true;
    it.isPaused = false;
    it.isReading = false;
    it.held.clear();
    it.settings.incarnation = it.life;
    it.settings.allowance = it.trafficSettings.allowance;
    it.member = std::make_unique<fleet_member>(it.settings);
    it.traffic = std::make_unique<traffic_core>(it.trafficSettings, it.settings.host, it.settings.dataCentre, m_options.seed + host);
    std::vector<known_peer> peers;
    for (unsigned other = 0; other < m_nodes.size() && peers.size() < 3; ++other) {
        if (other != host && m_nodes[other].isAlive)
            peers.push_back(known_peer { m_nodes[other].settings.host, m_nodes[other].settings.peerAddress });
    }
    it.member->setBootstrapPeers(std::move(peers));
    const auto phase = duration(std::uniform_int_distribution<std::int64_t>(0, m_options.tickInterval.count())(m_random));
    const unsigned life = it.life;
    at(m_now + phase, [this, host, life] {
        if (m_nodes[host].life == life)
            tick(host);
    });
}

void fake_fleet::deliver(unsigned host, duration delay, std::function<void()> run)
{
    const unsigned life = m_nodes[host].life;
    at(m_now + delay, [this, host, life, run = std::move(run)] {
        node& it = m_nodes[host];
        if (!it.isAlive || it.life != life)
            return;
        if (it.isPaused)
            it.held.push_back(run);
        else
            run();
    });
}

duration fake_fleet::delayBetween(unsigned from, unsigned to)
{
    const auto& left = m_nodes[from].settings.dataCentre;
    const auto& right = m_nodes[to].settings.dataCentre;
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
    const unsigned copies = draw(m_options.loss) ? 0 : draw(m_options.repeat) ? 2
                                                                              : 1;
    for (unsigned copy = 0; copy < copies && !isCut(from, to); ++copy) {
        deliver(to, delayBetween(from, to), [this, from, to, request = message.message] {
            handle(to, m_nodes[to].member->receive(request, m_now));
            const peer_message reply = m_nodes[to].member->reply(request, m_now);
            const unsigned replies = draw(m_options.loss) ? 0 : draw(m_options.repeat) ? 2
                                                                                       : 1;
            for (unsigned index = 0; index < replies && !isCut(to, from); ++index)
                deliver(from, delayBetween(to, from), [this, from, reply] { handle(from, m_nodes[from].member->receive(reply, m_now)); });
        });
    }
}

void fake_fleet::handle(unsigned host, const member_effects& effects)
{
    node& it = m_nodes[host];
    if (effects.advanced)
        it.traffic->applyConfiguration(it.member->held(), effects.wasFresh, effects.isMember, m_now);
    it.traffic->setFreshUntil(it.member->freshUntil(m_now));
    for (const share_grant& grant : effects.grants)
        it.traffic->holder().applyGrant(grant, m_now);
    for (const remote_sample& sample : effects.samples)
        it.traffic->recordRemoteSample(sample.host, sample.dataCentre, sample.sample, m_now);
    for (const outgoing_message& message : effects.messages)
        send(host, message);
}

void fake_fleet::tick(unsigned host)
{
    node& it = m_nodes[host];
    if (!it.isAlive || it.isPaused)
        return;
    it.traffic->tick(m_now);
    handle(host, it.member->tick(it.traffic->holder().dueReports(m_now), it.traffic->takeSamples(), m_now));
    pollStore(host);
    propose(host);
    const unsigned life = it.life;
    at(m_now + m_options.tickInterval, [this, host, life] {
        if (m_nodes[host].life == life)
            tick(host);
    });
}

void fake_fleet::pollStore(unsigned host)
{
    node& it = m_nodes[host];
    if (it.isReading || !it.member->isStorePollDue(m_now))
        return;
    it.isReading = true;
    it.member->noteStorePoll(m_now);
    ++m_totals.storeReads;
    const instant askedAt = m_now;
    const config_version after = it.member->held()->version();
    const bool isReachable = m_storeCuts.count(host) == 0;
    const auto found = m_log.readAfter(after);
    deliver(host, m_options.regionDelay * 2, [this, host, askedAt, found, isReachable] {
        m_nodes[host].isReading = false;
        if (isReachable && found.outcome == call_outcome::Done)
            handle(host, m_nodes[host].member->noteStoreRead(askedAt, found.value.head, found.value.changes, m_now));
    });
}

void fake_fleet::propose(unsigned host)
{
    node& it = m_nodes[host];
    const bool isUnable = m_isStoreAway || m_storeCuts.count(host) > 0 || m_now - it.proposedAt < proposalInterval || !it.member->evidence().storeReadAt();
    if (isUnable)
        return;
    std::vector<std::string> commands;
    if (!it.member->isInRoster()) {
        if (it.member->mayChangeRoster())
            commands.push_back(formatCommand(join_host { almondmoor::host { it.settings.host, it.member->incarnation(), it.settings.peerAddress, it.settings.dataCentre, false } }));
    } else {
        commands = it.member->proposals(m_now);
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
    const auto held = m_nodes[host].member->held();
    if (!held->check(command).ok())
        return false;
    const change it { absl::StrCat("c", m_nextChange++), held->version() + 1, "test", 0, command };
    const instant askedAt = m_now;
    if (m_log.append(it).outcome != append_outcome::Accepted)
        return false;
    handle(host, m_nodes[host].member->noteStoreRead(askedAt, held->version(), { it }, m_now));
    return true;
}

bool fake_fleet::isAccepted(unsigned host, config_version version)
{
    return m_nodes[host].member->held()->version() >= version && m_nodes[host].member->isConfirmed(version);
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
    m_nodes[host].isPaused = true;
}

void fake_fleet::resume(unsigned host)
{
    node& it = m_nodes[host];
    it.isPaused = false;
    const auto held = std::move(it.held);
    it.held.clear();
    for (const auto& run : held)
        run();
    tick(host);
}

void fake_fleet::kill(unsigned host)
{
    m_nodes[host].isAlive = false;
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

void fake_fleet::setStoreAway(bool isAway)
{
    m_isStoreAway = isAway;
    m_platform.setFaults(platform_faults { isAway, 0 });
}

void fake_fleet::request(unsigned host, const std::string& team)
{
    node& it = m_nodes[host];
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
    handle(host, it.member->sendReports(it.traffic->holder().dueReports(m_now), m_now));
    awaitToken(host, team, m_now + m_options.tokenWait);
}

void fake_fleet::awaitToken(unsigned host, const std::string& team, instant deadline)
{
    node& it = m_nodes[host];
    // A paused or dead host admits nothing, and a late check is as good as none.
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
    at(m_now + tokenRetry, [this, host, team, deadline] { awaitToken(host, team, deadline); });
}

void fake_fleet::clearCounts()
{
    m_arrived.clear();
    m_admitted.clear();
    m_refused.clear();
    m_totals = traffic_totals {};
}

std::uint64_t fake_fleet::refusedByOneBucket(const std::vector<instant>& arrivals, double ratePerSecond, double burst)
{
    share bucket { ratePerSecond, burst, burst, arrivals.empty() ? longAgo : arrivals.front() };
    return static_cast<std::uint64_t>(std::count_if(arrivals.begin(), arrivals.end(), [&bucket](instant at) { return !bucket.take(at); }));
}

bool fake_fleet::conforms(const std::vector<instant>& admissions, double ratePerSecond, double burst)
{
    constexpr double rounding = 1e-3;
    double level = 0;
    instant last = longAgo;
    for (const instant at : admissions) {
        if (last != longAgo)
            level = std::max(0.0, level - ratePerSecond * toSeconds(at - last));
        last = at;
        level += 1;
        if (level > burst + rounding)
            return false;
    }
    return true;
}

} // namespace almondmoor
