#include "service_model.h"

#include <cmath>

namespace almondmoor {

namespace {

    using namespace std::chrono_literals;

    constexpr const char* serviceName = "orders";
    constexpr duration inDataCentre = 100us;
    constexpr duration inRegion = 500us;
    constexpr duration betweenRegions = 20ms;
    // Part of the hosts' datagrams that are lost.
    constexpr double lostReports = 0.002;
    constexpr unsigned mostAttempts = 2;
    constexpr double workSpread = 0.8;
    constexpr double retryRatio = 0.2;
    constexpr double retrySlack = 62;
    // Work should come to an upstream that was well for this long within the window.
    constexpr duration wellTime = 6s;
    constexpr duration coverageWindow = 2s;
    constexpr duration coverageStep = 250ms;
    constexpr duration tickInterval = 250ms;

    std::string dataCentreName(unsigned index)
    {
        return "dc-" + std::to_string(index);
    }

    region_map regionsOf(unsigned dataCentres)
    {
        region_map regions;
        for (unsigned index = 0; index < dataCentres; ++index)
            regions[dataCentreName(index)] = "region-" + std::to_string(index / 2);
        return regions;
    }

} // namespace

service_model::service_model(const model_pattern& pattern, const model_policy& policy, std::uint64_t seed)
    : m_pattern(pattern)
    , m_policy(policy)
    , m_random(seed)
    , m_end(m_now + pattern.length)
{
    upstream_directory directory;
    for (unsigned dataCentre = 0; dataCentre < pattern.dataCentres; ++dataCentre) {
        for (unsigned index = 0; index < pattern.upstreamsPerDataCentre; ++index) {
            upstream_row it;
            it.id = "i-" + std::to_string(m_upstreams.size());
            it.dataCentre = dataCentre;
            it.speed = (0.8 + 0.4 * draw()) * (draw() < pattern.slowPart ? pattern.slowFactor : 1);
            it.failsFrom = m_now;
            it.failsUntil = m_now;
            directory[it.id] = { it.id, "", serviceName, dataCentreName(dataCentre), pattern.slots };
            m_upstreamById[it.id] = static_cast<unsigned>(m_upstreams.size());
            m_upstreams.push_back(it);
        }
    }
    const unsigned hosts = pattern.dataCentres * pattern.hostsPerDataCentre;
    dispatch_settings settings;
    settings.choice = policy.choice;
    settings.retryRatio = retryRatio;
    settings.retrySlack = retrySlack;
    for (unsigned index = 0; index < hosts; ++index) {
        const unsigned dataCentre = index / pattern.hostsPerDataCentre;
        host_row it;
        it.core = std::make_unique<dispatch_core>(settings, "host-" + std::to_string(index), dataCentreName(dataCentre), regionsOf(pattern.dataCentres), seed + index);
        it.core->applyDirectory(directory, m_now);
        it.core->setFleetSize(pattern.hostsPerDataCentre, hosts);
        it.pacing = report_pacing(policy.pacing);
        it.pacing.setNeighbours(pattern.hostsPerDataCentre - 1);
        it.dataCentre = dataCentre;
        m_hosts.push_back(std::move(it));
    }
}

void service_model::at(instant when, std::function<void()> act)
{
    m_events.push({ when, ++m_order, std::move(act) });
}

model_result service_model::run()
{
    for (const model_kind& kind : m_pattern.kinds)
        planArrival(kind);
    at(m_now + coverageStep, [this] { measureCoverage(); });
    at(m_now + tickInterval, [this] { tick(); });
    while (!m_events.empty() && m_events.top().at < m_end) {
        const event_row next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.act();
    }
    m_result.hostSeconds = static_cast<double>(m_hosts.size()) * toSeconds(m_pattern.length);
    return m_result;
}

void service_model::planArrival(const model_kind& kind)
{
    std::exponential_distribution<double> gap(kind.perSecond * m_pattern.load);
    at(m_now + fromSeconds(gap(m_random)), [this, &kind] {
        arrive(kind);
        planArrival(kind);
    });
}

void service_model::arrive(const model_kind& kind)
{
    // A hash of the guest picks the host, so that shares are uneven.
    const double place = std::pow(draw(), 1.3) * m_pattern.hostsPerDataCentre;
    auto dataCentre = static_cast<unsigned>(draw() * m_pattern.dataCentres);
    while (m_pattern.quietDataCentres.count(dataCentre))
        dataCentre = static_cast<unsigned>(draw() * m_pattern.dataCentres);
    const unsigned host = dataCentre * m_pattern.hostsPerDataCentre + static_cast<unsigned>(place);
    const std::uint64_t id = m_nextRequest++;
    m_requests[id] = { &kind, host, 0, 0, m_now, m_now, {} };
    ++m_result.requests;
    m_hosts[host].core->recordFirstAttempt(serviceName);
    send(id);
}

void service_model::send(std::uint64_t id)
{
    request_row& it = m_requests[id];
    host_row& host = m_hosts[it.host];
    const bool mayFail = it.kind->isRepeatable && it.sends + 1 < mostAttempts && host.core->canRetry(serviceName);
    const choice_result chosen = host.core->choose({ serviceName, mayFail, &it.tried, it.beganAt + it.kind->limit - m_now, it.kind->target }, m_now);
    if (!chosen.upstream) {
        end(id, m_result.refused);
        return;
    }
    ++it.sends;
    m_result.resent += it.sends > 1 ? 1 : 0;
    m_result.sentNear += chosen.tier == distance_tier::SameRegion ? 1 : 0;
    m_result.sentFar += chosen.tier == distance_tier::OtherRegion ? 1 : 0;
    it.tried.insert(chosen.upstream->id);
    it.upstream = m_upstreamById[chosen.upstream->id];
    it.sentAt = m_now;
    if (chosen.isTrial || chosen.isBusy)
        it.urgency = update_urgency::High;
    tell(it.host, it.urgency);
    at(m_now + distance(host.dataCentre, m_upstreams[it.upstream].dataCentre), [this, id] { reach(id); });
}

bool service_model::isFailing(upstream_row& it)
{
    while (it.failsUntil <= m_now) {
        const double soundLength = toSeconds(m_pattern.failingLength) * (1 - m_pattern.failingPart) / std::max(0.001, m_pattern.failingPart);
        it.failsFrom = it.failsUntil + fromSeconds(soundLength * 2 * draw());
        it.failsUntil = it.failsFrom + m_pattern.failingLength;
    }
    return isInOutage(it) || (m_pattern.failingPart > 0 && m_now >= it.failsFrom);
}

bool service_model::isInOutage(const upstream_row& it) const
{
    const instant from = m_beginning + m_pattern.outageFrom;
    // The first upstreams of each data centre.
    const auto place = static_cast<unsigned>(&it - m_upstreams.data()) % m_pattern.upstreamsPerDataCentre;
    return place < m_pattern.outagePart * m_pattern.upstreamsPerDataCentre && m_now >= from && m_now < from + m_pattern.outageLength;
}

void service_model::measureCoverage()
{
    unsigned well = 0;
    unsigned used = 0;
    for (upstream_row& it : m_upstreams) {
        if (isFailing(it))
            it.lastFailingAt = m_now;
        if (m_now - std::max(it.lastFailingAt, m_beginning) < wellTime + coverageWindow)
            continue;
        ++well;
        used += m_now - it.reachedAt < coverageWindow ? 1 : 0;
    }
    if (well > 0)
        m_result.leastCovered = std::min(m_result.leastCovered, static_cast<double>(used) / well);
    at(m_now + coverageStep, [this] { measureCoverage(); });
}

void service_model::reach(std::uint64_t id)
{
    upstream_row& it = m_upstreams[m_requests[id].upstream];
    it.reachedAt = m_now;
    if (isFailing(it) && draw() < m_pattern.lostWhileFailing) {
        lose(id);
    } else if (draw() < m_pattern.shedPart || (it.running >= m_pattern.slots && it.waiting.size() >= m_pattern.queue)) {
        finish(id, attempt_result::Shed);
    } else if (it.running >= m_pattern.slots) {
        it.waiting.push_back(id);
    } else {
        begin(id);
    }
}

void service_model::lose(std::uint64_t id)
{
    const request_row& it = m_requests[id];
    if (m_pattern.manner == failure_manner::Reset) {
        finish(id, attempt_result::Crashed);
        return;
    }
    ++m_upstreams[it.upstream].running;
    at(it.beganAt + it.kind->limit, [this, id, place = it.upstream] {
        leave(place);
        finish(id, attempt_result::Failed);
    });
}

void service_model::leave(unsigned place)
{
    upstream_row& upstream = m_upstreams[place];
    --upstream.running;
    while (!upstream.waiting.empty() && upstream.running < m_pattern.slots) {
        const std::uint64_t next = upstream.waiting.front();
        upstream.waiting.pop_front();
        begin(next);
    }
}

void service_model::begin(std::uint64_t id)
{
    const request_row& it = m_requests[id];
    upstream_row& upstream = m_upstreams[it.upstream];
    ++upstream.running;
    std::lognormal_distribution<double> work(-workSpread * workSpread / 2, workSpread);
    const double seconds = toSeconds(it.kind->meanWork) * upstream.speed * work(m_random);
    at(m_now + fromSeconds(seconds), [this, id, place = it.upstream] {
        finish(id, attempt_result::Good);
        leave(place);
    });
}

void service_model::finish(std::uint64_t id, attempt_result result)
{
    const request_row& it = m_requests[id];
    const duration back = distance(m_hosts[it.host].dataCentre, m_upstreams[it.upstream].dataCentre);
    at(m_now + back, [this, id, result] { retryOrEnd(id, result); });
}

void service_model::retryOrEnd(std::uint64_t id, attempt_result result)
{
    request_row& it = m_requests[id];
    dispatch_core& core = *m_hosts[it.host].core;
    core.finishAttempt({ m_upstreams[it.upstream].id, result, m_now - it.sentAt, id }, m_now);
    if (result != attempt_result::Good)
        it.urgency = update_urgency::High;
    tell(it.host, it.urgency);
    const duration total = m_now - it.beganAt;
    if (result == attempt_result::Good) {
        end(id, total <= it.kind->target ? m_result.inTarget : total <= it.kind->limit ? m_result.late
                                                                                       : m_result.failed);
        return;
    }
    const bool mayRunAgain = result == attempt_result::Shed || it.kind->isRepeatable;
    if (mayRunAgain && it.sends < mostAttempts && total < it.kind->limit && core.takeRetry(serviceName)) {
        send(id);
        return;
    }
    end(id, result == attempt_result::Shed ? m_result.refused : m_result.failed);
}

void service_model::end(std::uint64_t id, std::uint64_t& count)
{
    ++count;
    m_requests.erase(id);
}

void service_model::tell(unsigned host, update_urgency urgency)
{
    if (!m_policy.hasReports)
        return;
    if (m_hosts[host].pacing.recordUpdate(urgency, m_now))
        report(host);
    planReport(host);
}

void service_model::planReport(unsigned host)
{
    if (m_hosts[host].isReportPlanned)
        return;
    m_hosts[host].isReportPlanned = true;
    at(std::max(m_now, m_hosts[host].pacing.dueAt()), [this, host] {
        m_hosts[host].isReportPlanned = false;
        if (m_now >= m_hosts[host].pacing.dueAt())
            report(host);
        planReport(host);
    });
}

void service_model::tick()
{
    for (unsigned host = 0; host < m_hosts.size(); ++host) {
        if (m_policy.hasReports && !m_hosts[host].core->takeIdleUpstreams(m_now).empty())
            tell(host, update_urgency::High);
    }
    at(m_now + tickInterval, [this] { tick(); });
}

void service_model::report(unsigned from)
{
    host_row& sender = m_hosts[from];
    sender.pacing.recordSent(m_now);
    const dispatch_core::peer_report notice = sender.core->takePeerReport();
    auto report = std::make_shared<neighbour_report>(sender.core->takeReport(m_now));
    report->incarnation = 1;
    report->sequence = ++sender.sequence;
    for (unsigned to = 0; to < m_hosts.size(); ++to) {
        const bool isNeighbour = m_hosts[to].dataCentre == sender.dataCentre;
        if (to == from || draw() < lostReports)
            continue;
        const duration delay = distance(sender.dataCentre, m_hosts[to].dataCentre) + inDataCentre;
        if (isNeighbour) {
            ++m_result.reportsTaken;
            at(m_now + delay, [this, to, report] { m_hosts[to].core->recordReport(*report, m_now); });
        } else if (!notice.isEmpty() && to % m_pattern.hostsPerDataCentre == from % m_pattern.hostsPerDataCentre) {
            const bool isInRegion = m_hosts[to].dataCentre / 2 == sender.dataCentre / 2;
            dispatch_core::peer_report taken = notice;
            if (!isInRegion)
                taken.idleUpstreams.clear();
            at(m_now + delay, [this, to, taken] {
                m_hosts[to].core->recordPeerReport(taken, m_now);
                tell(to, update_urgency::High);
            });
        }
    }
}

duration service_model::distance(unsigned dataCentre, unsigned other) const
{
    if (dataCentre == other)
        return inDataCentre;
    return dataCentre / 2 == other / 2 ? inRegion : betweenRegions;
}

} // namespace almondmoor
