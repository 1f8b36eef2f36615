#include "service_model.h"

#include <cmath>

namespace almondmoor {

namespace {

    using namespace std::chrono_literals;

    constexpr const char* serviceName = "orders";
    constexpr duration dataCentreDelay = 100us;
    constexpr duration regionDelay = 500us;
    constexpr duration interRegionDelay = 20ms;
    // Fraction of the datagrams between hosts that are lost.
    constexpr double lostReportFraction = 0.002;
    constexpr unsigned maxAttempts = 2;
    // Standard deviation of the logarithm of the time that a request takes.
    constexpr double serviceTimeSigma = 0.8;
    constexpr double retryRatio = 0.2;
    constexpr double retrySlack = 62;
    // Once an upstream has been healthy for minHealthyTime, it should get a request within
    // each coverage window.
    constexpr duration minHealthyTime = 6s;
    constexpr duration coverageWindow = 2s;
    constexpr duration coverageInterval = 250ms;
    constexpr duration tickInterval = 250ms;

    // Returns a configuration with a route of the service for each kind of request.
    serving_config configOf(const model_pattern& pattern)
    {
        serving_config config;
        for (const model_kind& kind : pattern.kinds) {
            route_config route;
            route.prefix = "/kind-" + std::to_string(config.routesByHost[""].size()) + "/";
            route.targetLatency = kind.targetLatency;
            route.priority = kind.priority;
            route.parts = { { serviceName, 1 } };
            config.addRoute(route);
        }
        return config;
    }

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
    , m_endsAt(m_now + pattern.runTime)
{
    upstream_directory directory;
    for (unsigned dataCentre = 0; dataCentre < pattern.dataCentres; ++dataCentre) {
        for (unsigned index = 0; index < pattern.upstreamsPerDataCentre; ++index) {
            upstream_row upstream;
            upstream.id = "i-" + std::to_string(m_upstreams.size());
            upstream.dataCentre = dataCentre;
            upstream.latencyFactor = (0.8 + 0.4 * draw()) * (draw() < pattern.slowFraction ? pattern.slowFactor : 1);
            upstream.failsAt = m_now;
            upstream.failsUntil = m_now;
            directory[upstream.id] = { upstream.id, "", serviceName, dataCentreName(dataCentre), pattern.slots };
            m_upstreamIndexById[upstream.id] = static_cast<unsigned>(m_upstreams.size());
            m_upstreams.push_back(upstream);
        }
    }
    const unsigned hosts = pattern.dataCentres * pattern.hostsPerDataCentre;
    m_result.kinds.resize(pattern.kinds.size());
    const serving_config config = configOf(pattern);
    dispatch_settings settings;
    settings.choice = policy.choice;
    settings.admission = policy.admission;
    settings.retryRatio = retryRatio;
    settings.retrySlack = retrySlack;
    for (unsigned index = 0; index < hosts; ++index) {
        const unsigned dataCentre = index / pattern.hostsPerDataCentre;
        host_row host;
        host.core = std::make_unique<dispatch_core>(settings, "host-" + std::to_string(index), dataCentreName(dataCentre), regionsOf(pattern.dataCentres), seed + index);
        host.core->applyConfig(config, m_now);
        host.core->applyDirectory(directory, m_now);
        host.core->setFleetSize(pattern.hostsPerDataCentre, hosts);
        host.pacing = report_pacing(policy.pacing);
        host.pacing.setNeighbours(pattern.hostsPerDataCentre - 1);
        host.dataCentre = dataCentre;
        m_hosts.push_back(std::move(host));
    }
}

void service_model::schedule(instant when, std::function<void()> action)
{
    m_events.push({ when, ++m_lastEventOrder, std::move(action) });
}

model_result service_model::run()
{
    for (const model_kind& kind : m_pattern.kinds)
        scheduleArrival(kind);
    schedule(m_now + coverageInterval, [this] { measureCoverage(); });
    schedule(m_now + tickInterval, [this] { tick(); });
    while (!m_events.empty() && m_events.top().at < m_endsAt) {
        const event_row next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.action();
    }
    m_result.hostSeconds = static_cast<double>(m_hosts.size()) * toSeconds(m_pattern.runTime);
    return m_result;
}

void service_model::scheduleArrival(const model_kind& kind)
{
    std::exponential_distribution<double> interval(kind.requestsPerSecond * m_pattern.loadFactor * (isBurst(kind) ? kind.burstFactor : 1));
    schedule(m_now + fromSeconds(interval(m_random)), [this, &kind] {
        arrive(kind);
        scheduleArrival(kind);
    });
}

bool service_model::isBurst(const model_kind& kind) const
{
    const instant startsAt = m_startedAt + kind.burstOffset;
    return m_now >= startsAt && m_now < startsAt + kind.burstDuration;
}

void service_model::arrive(const model_kind& kind)
{
    // Hosts are picked unevenly, as by a hash of the client.
    const double hostPosition = std::pow(draw(), 1.3) * m_pattern.hostsPerDataCentre;
    auto dataCentre = static_cast<unsigned>(draw() * m_pattern.dataCentres);
    while (m_pattern.quietDataCentres.count(dataCentre))
        dataCentre = static_cast<unsigned>(draw() * m_pattern.dataCentres);
    const unsigned host = dataCentre * m_pattern.hostsPerDataCentre + static_cast<unsigned>(hostPosition);
    const std::uint64_t id = m_nextRequestId++;
    m_requests[id] = { &kind, host, 0, 0, false, m_now, m_now, {} };
    ++m_result.requests;
    ++countsOf(kind).requests;
    m_hosts[host].core->recordFirstAttempt(serviceName);
    send(id);
}

void service_model::send(std::uint64_t id)
{
    request_row& request = m_requests[id];
    host_row& host = m_hosts[request.host];
    const bool canRetry = request.kind->isIdempotent && request.attempts + 1 < maxAttempts && host.core->canRetry(serviceName);
    const choice_result chosen = host.core->choose({ serviceName, canRetry, &request.tried, request.startedAt + request.kind->timeout - m_now, request.kind->targetLatency, {}, request.kind->priority }, m_now);
    if (!chosen.upstream) {
        complete(id, &result_counts::refused);
        return;
    }
    ++request.attempts;
    request.hasMadeTrial = request.hasMadeTrial || chosen.isTrial;
    m_result.retried += request.attempts > 1 ? 1 : 0;
    m_result.sentToSameRegion += chosen.tier == distance_tier::SameRegion ? 1 : 0;
    m_result.sentToOtherRegion += chosen.tier == distance_tier::OtherRegion ? 1 : 0;
    request.tried.insert(chosen.upstream->id);
    request.upstream = m_upstreamIndexById[chosen.upstream->id];
    request.sentAt = m_now;
    if (chosen.isTrial || chosen.isBusy)
        request.urgency = update_urgency::High;
    recordUpdate(request.host, request.urgency);
    schedule(m_now + networkDelay(host.dataCentre, m_upstreams[request.upstream].dataCentre), [this, id] { handleAtUpstream(id); });
}

bool service_model::isFailing(upstream_row& upstream)
{
    while (upstream.failsUntil <= m_now) {
        const double meanHealthyDuration = toSeconds(m_pattern.failingDuration) * (1 - m_pattern.failingFraction) / std::max(0.001, m_pattern.failingFraction);
        upstream.failsAt = upstream.failsUntil + fromSeconds(meanHealthyDuration * 2 * draw());
        upstream.failsUntil = upstream.failsAt + m_pattern.failingDuration;
    }
    return isInOutage(upstream) || (m_pattern.failingFraction > 0 && m_now >= upstream.failsAt);
}

bool service_model::isInOutage(const upstream_row& upstream) const
{
    const instant outageStartsAt = m_startedAt + m_pattern.outageOffset;
    // The outage affects the first upstreams of each data centre.
    const auto index = static_cast<unsigned>(&upstream - m_upstreams.data()) % m_pattern.upstreamsPerDataCentre;
    return index < m_pattern.outageFraction * m_pattern.upstreamsPerDataCentre && m_now >= outageStartsAt && m_now < outageStartsAt + m_pattern.outageDuration;
}

void service_model::measureCoverage()
{
    unsigned healthy = 0;
    unsigned used = 0;
    for (upstream_row& upstream : m_upstreams) {
        if (isFailing(upstream))
            upstream.lastFailingAt = m_now;
        if (m_now - std::max(upstream.lastFailingAt, m_startedAt) < minHealthyTime + coverageWindow)
            continue;
        ++healthy;
        used += m_now - upstream.lastRequestAt < coverageWindow ? 1 : 0;
    }
    if (healthy > 0)
        m_result.minCoverage = std::min(m_result.minCoverage, static_cast<double>(used) / healthy);
    schedule(m_now + coverageInterval, [this] { measureCoverage(); });
}

void service_model::handleAtUpstream(std::uint64_t id)
{
    upstream_row& upstream = m_upstreams[m_requests[id].upstream];
    upstream.lastRequestAt = m_now;
    if (isFailing(upstream) && draw() < m_pattern.lostWhileFailing) {
        loseRequest(id);
    } else if (draw() < m_pattern.shedFraction || (upstream.busySlots >= m_pattern.slots && upstream.waiting.size() >= m_pattern.maxQueueLength)) {
        sendResult(id, attempt_result::Shed);
    } else if (upstream.busySlots >= m_pattern.slots) {
        upstream.waiting.push_back(id);
    } else {
        startProcessing(id);
    }
}

void service_model::loseRequest(std::uint64_t id)
{
    const request_row& request = m_requests[id];
    if (m_pattern.failureMode == failure_mode::Reset) {
        sendResult(id, attempt_result::Crashed);
        return;
    }
    ++m_upstreams[request.upstream].busySlots;
    schedule(request.startedAt + request.kind->timeout, [this, id, upstreamIndex = request.upstream] {
        freeSlot(upstreamIndex);
        sendResult(id, attempt_result::Failed);
    });
}

void service_model::freeSlot(unsigned upstreamIndex)
{
    upstream_row& upstream = m_upstreams[upstreamIndex];
    --upstream.busySlots;
    while (!upstream.waiting.empty() && upstream.busySlots < m_pattern.slots) {
        const std::uint64_t next = upstream.waiting.front();
        upstream.waiting.pop_front();
        startProcessing(next);
    }
}

void service_model::startProcessing(std::uint64_t id)
{
    const request_row& request = m_requests[id];
    upstream_row& upstream = m_upstreams[request.upstream];
    ++upstream.busySlots;
    std::lognormal_distribution<double> timeFactor(-serviceTimeSigma * serviceTimeSigma / 2, serviceTimeSigma);
    const double seconds = toSeconds(request.kind->meanServiceTime) * upstream.latencyFactor * timeFactor(m_random);
    schedule(m_now + fromSeconds(seconds), [this, id, upstreamIndex = request.upstream] {
        sendResult(id, attempt_result::Good);
        freeSlot(upstreamIndex);
    });
}

void service_model::sendResult(std::uint64_t id, attempt_result result)
{
    const request_row& request = m_requests[id];
    const duration responseDelay = networkDelay(m_hosts[request.host].dataCentre, m_upstreams[request.upstream].dataCentre);
    schedule(m_now + responseDelay, [this, id, result] { retryOrComplete(id, result); });
}

void service_model::retryOrComplete(std::uint64_t id, attempt_result result)
{
    request_row& request = m_requests[id];
    dispatch_core& core = *m_hosts[request.host].core;
    core.finishAttempt({ m_upstreams[request.upstream].id, result, m_now - request.sentAt, id }, m_now);
    if (result != attempt_result::Good)
        request.urgency = update_urgency::High;
    recordUpdate(request.host, request.urgency);
    const duration total = m_now - request.startedAt;
    if (result == attempt_result::Good) {
        const auto lateCount = total <= request.kind->timeout ? &result_counts::late : &result_counts::failed;
        complete(id, total <= request.kind->targetLatency ? &result_counts::withinTarget : lateCount);
        return;
    }
    const bool canRunAgain = result == attempt_result::Shed || request.kind->isIdempotent;
    if (canRunAgain && request.attempts < maxAttempts && total < request.kind->timeout && core.takeRetry(serviceName)) {
        send(id);
        return;
    }
    complete(id, result == attempt_result::Shed ? &result_counts::refused : &result_counts::failed);
}

void service_model::complete(std::uint64_t id, std::uint64_t result_counts::*count)
{
    ++(m_result.*count);
    ++(countsOf(*m_requests[id].kind).*count);
    const bool isServed = count == &result_counts::withinTarget || count == &result_counts::late;
    const request_row& request = m_requests[id];
    const request_outcome outcome { serviceName, request.kind->priority, isServed, count == &result_counts::withinTarget, count == &result_counts::refused, request.hasMadeTrial };
    m_hosts[request.host].core->recordOutcome(outcome, m_now);
    m_requests.erase(id);
}

void service_model::recordUpdate(unsigned host, update_urgency urgency)
{
    if (!m_policy.hasReports)
        return;
    if (m_hosts[host].pacing.recordUpdate(urgency, m_now))
        sendReport(host);
    scheduleReport(host);
}

void service_model::scheduleReport(unsigned host)
{
    if (m_hosts[host].isReportScheduled)
        return;
    m_hosts[host].isReportScheduled = true;
    schedule(std::max(m_now, m_hosts[host].pacing.dueAt()), [this, host] {
        m_hosts[host].isReportScheduled = false;
        if (m_now >= m_hosts[host].pacing.dueAt())
            sendReport(host);
        scheduleReport(host);
    });
}

void service_model::tick()
{
    for (unsigned host = 0; host < m_hosts.size(); ++host) {
        if (m_policy.hasReports && !m_hosts[host].core->takeIdleUpstreams(m_now).empty())
            recordUpdate(host, update_urgency::High);
    }
    schedule(m_now + tickInterval, [this] { tick(); });
}

void service_model::sendReport(unsigned from)
{
    host_row& sender = m_hosts[from];
    sender.pacing.recordSent(m_now);
    const dispatch_core::peer_report peerReport = sender.core->takePeerReport();
    auto report = std::make_shared<neighbour_report>(sender.core->takeReport(m_now));
    report->incarnation = 1;
    report->sequence = ++sender.sequence;
    for (unsigned to = 0; to < m_hosts.size(); ++to) {
        const bool isNeighbour = m_hosts[to].dataCentre == sender.dataCentre;
        if (to == from || draw() < lostReportFraction)
            continue;
        const duration delay = networkDelay(sender.dataCentre, m_hosts[to].dataCentre) + dataCentreDelay;
        if (isNeighbour) {
            ++m_result.reportsReceived;
            schedule(m_now + delay, [this, to, report] { m_hosts[to].core->recordReport(*report, m_now); });
        } else if (!peerReport.isEmpty() && to % m_pattern.hostsPerDataCentre == from % m_pattern.hostsPerDataCentre) {
            const bool isInRegion = m_hosts[to].dataCentre / 2 == sender.dataCentre / 2;
            dispatch_core::peer_report received = peerReport;
            if (!isInRegion)
                received.idleUpstreams.clear();
            schedule(m_now + delay, [this, to, received] {
                m_hosts[to].core->recordPeerReport(received, m_now);
                recordUpdate(to, update_urgency::High);
            });
        }
    }
}

duration service_model::networkDelay(unsigned dataCentre, unsigned other) const
{
    if (dataCentre == other)
        return dataCentreDelay;
    return dataCentre / 2 == other / 2 ? regionDelay : interRegionDelay;
}

} // namespace almondmoor
