// Implements dispatch_core: how one host admits requests, records the results of
// attempts and exchanges reports with other hosts.

#include "Core/dispatch_core.h"

#include "Core/homes.h"
#include "Core/rendezvous.h"

#include <algorithm>

namespace almondmoor {

namespace {

    // Fraction of the allowed retry ratio that hosts use. It stays below one because
    // each host counts only its own requests.
    constexpr double usedRetryRatioFraction = 0.9;
    // A neighbour that sent no report for this long counts as unreachable.
    constexpr duration neighbourTimeout = std::chrono::milliseconds(1500);
    // A neighbour that the platform does not list counts as a member for this long after its latest report.
    constexpr duration unlistedMemberTtl = std::chrono::seconds(10);

    // Seconds; bounds the room that is computed from the latency of a service.
    constexpr double minServiceLatency = 0.001;

    retry_budget_settings budgetFor(const dispatch_settings& settings, unsigned hosts)
    {
        const double ownSlack = settings.retrySlack / std::max(1U, hosts);
        return { settings.retryRatio * usedRetryRatioFraction, std::max(1.0, ownSlack), std::min(1.0, ownSlack) };
    }

} // namespace

dispatch_core::dispatch_core(const dispatch_settings& settings, std::string host, std::string dataCentre, region_map regions, std::uint64_t seed)
    : m_settings(settings)
    , m_host(std::move(host))
    , m_dataCentre(dataCentre)
    , m_choice(settings.choice, std::move(dataCentre), std::move(regions), stableHash(m_host), settings.cold, m_host)
    , m_admission(settings.admission)
    , m_losses(settings.choice.trials.lossWindow)
    , m_quota(settings.quota)
    , m_lending(lending_settings {}, m_host)
    , m_budget(budgetFor(settings, 1))
    , m_quarantine(settings.quarantine, seed)
    , m_random(seed)
{
}

void dispatch_core::applyConfig(const serving_config& config, instant now)
{
    m_quota.apply(config, now);
    m_choice.setServiceHomes(homesOfServices(config));
    m_choice.cold().setServices(config.services, now);
    m_admission.apply(config);
}

void dispatch_core::applyDirectory(const upstream_directory& directory, instant now)
{
    m_choice.apply(directory, now);
}

std::vector<evacuation_event> dispatch_core::applyEvacuations(const evacuation_update& update, instant now)
{
    std::vector<evacuation_event> events = m_evacuations.apply(update, now);
    if (!events.empty())
        m_choice.setEvacuated(m_evacuations.dataCentres(), now);
    for (const evacuation_event& it : events) {
        if (it.isEnded)
            m_choice.cold().recordReturn(it.dataCentre, now);
    }
    return events;
}

void dispatch_core::setFleetSize(unsigned neighbours, unsigned hosts)
{
    m_knownNeighbours = std::max(1U, neighbours);
    m_budget.setLimits(budgetFor(m_settings, hosts));
    m_quota.setNeighbours(std::max(m_knownNeighbours, m_reachable), m_reachable);
}

void dispatch_core::setMembers(const host_map& members, instant now)
{
    m_members = members;
    // A neighbour that sends reports is a member although this host does not know that yet. One more member never gives
    // this host a larger part.
    host_map known = members;
    for (const auto& [host, it] : m_neighbours) {
        if (now - it.lastReceivedAt <= unlistedMemberTtl)
            known.try_emplace(host, m_dataCentre);
    }
    m_choice.cold().setMembers(known, now);
}

std::vector<std::string> dispatch_core::reachableNeighbourNames(instant now) const
{
    std::vector<std::string> names;
    for (const auto& [host, it] : m_neighbours) {
        if (now - it.lastReceivedAt <= neighbourTimeout)
            names.push_back(host);
    }
    return names;
}

std::vector<token_request> dispatch_core::takeTokenRequests(instant now)
{
    // A host that has heard of few neighbours yet does not know which of them asks.
    if (m_reachable * 2 < m_knownNeighbours)
        return {};
    return m_lending.takeRequests(m_quota, reachableNeighbourNames(now), now);
}

std::optional<token_grant> dispatch_core::lendTokens(const token_request& request, instant now)
{
    if (m_reachable * 2 < m_knownNeighbours)
        return std::nullopt;
    return m_lending.lend(m_quota, request, reachableNeighbourNames(now), now);
}

double dispatch_core::drawUniform()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

choice_result dispatch_core::choose(const choice_query& query, instant now)
{
    const bool isRetry = query.tried && !query.tried->empty();
    if (!isRetry)
        m_admission.recordArrival(query.service, query.priority, now);
    const admission_verdict verdict = decideAdmission(query, isRetry, now);
    choice_result result;
    if (verdict.isAdmitted()) {
        choice_query completed = query;
        completed.maxWait = verdict.maxWait;
        completed.lossShare = lossShare(query.service, now);
        result = m_choice.choose(completed, now, m_random);
    }
    result.admission = verdict;
    if (!verdict.isAdmitted() || (verdict.maxWait && !result.upstream && result.refusal == choice_refusal::NoCapacity)) {
        result.refusal = choice_refusal::NoRoomForPriority;
        result.timeUntilCapacity = verdict.timeUntilRoom;
    }
    if (!isRetry && result.upstream)
        m_admission.recordSent(query.service, query.priority, now);
    return result;
}

void dispatch_core::recordOutcome(const request_outcome& outcome, instant now)
{
    // The losses of trials would call for more trials.
    if (!outcome.hasMadeTrial)
        m_losses.record(outcome.service, outcome.isServed, now);
    if (outcome.isServed || outcome.lackedRoom)
        m_admission.recordOutcome(outcome.service, outcome.priority, outcome.isWithinTarget, now);
}

admission_verdict dispatch_core::decideAdmission(const choice_query& query, bool isRetry, instant now)
{
    if (!m_admission.isLimited(query.service, query.priority, now))
        return {};
    service_room room = m_choice.roomOf(query, now);
    room.knownHosts = m_knownNeighbours;
    return m_admission.decide(query.service, query.priority, isRetry, room, now);
}

duration dispatch_core::timeUntilReturn(const choice_query& query, const choice_result& result, duration atLeast, std::uint64_t client, instant now)
{
    if (result.refusal != choice_refusal::NoCapacity && result.refusal != choice_refusal::NoRoomForPriority)
        return atLeast;
    const service_room room = m_choice.roomOf(query, now);
    const double latency = std::max(toSeconds(room.usualLatency), minServiceLatency);
    const double roomPerSecond = room.slots / latency / std::max(1U, m_knownNeighbours);
    return m_returns.timeUntilReturn({ query.service, query.priority, client, atLeast, query.timeLeft, roomPerSecond }, now);
}

bool dispatch_core::takeRetry(const std::string& service)
{
    if (!m_budget.canRetry(service))
        return false;
    m_budget.takeRetry(service);
    return true;
}

void dispatch_core::finishAttempt(const attempt_report& report, instant now)
{
    if (const std::string* service = m_choice.serviceElsewhere(report.upstream))
        m_admission.recordElsewhere(*service, report.result, report.latency, m_choice.usualLatency(*service), now);
    const double relativeLatency = m_choice.relativeLatency(report.upstream, report.route, report.latency);
    const report_audience audience = m_choice.finish(report.upstream, report.result, report.latency, now, report.route);
    if (report.result == attempt_result::Crashed)
        m_quarantine.recordCrash(report.fingerprint, report.upstream, now);
    if (audience == report_audience::Nobody)
        return;
    const neighbour_sample sample { report.upstream, report.result, report.latency, report.result == attempt_result::Crashed ? report.fingerprint : 0, relativeLatency };
    m_samples.push_back(sample);
    if (audience == report_audience::Fleet)
        m_peerReport.failures.push_back(sample);
}

void dispatch_core::recordAnnouncement(const upstream_incarnation& incarnation, const upstream_announcement& announcement, instant now)
{
    if (m_choice.recordAnnouncement(incarnation, announcement, now))
        m_leaving.push_back(incarnation);
}

bool dispatch_core::recordPeerReport(const peer_report& report, instant now)
{
    for (const neighbour_sample& sample : report.failures) {
        m_choice.recordRemoteResult(sample.upstream, sample.result, sample.latency, now, sample.relativeLatency);
        if (sample.result == attempt_result::Crashed)
            m_quarantine.recordCrash(sample.fingerprint, sample.upstream, now);
        m_samples.push_back(sample);
    }
    m_quarantine.recordFromDataCentre(report.quarantined, now);
    for (const std::string& upstream : report.idleUpstreams) {
        m_choice.requestTrial(upstream, now);
        m_idleElsewhere.push_back(upstream);
    }
    for (const std::string& upstream : report.suspectedUpstreams) {
        m_choice.cold().recordRemoteSuspicion(upstream, now);
        m_suspectedElsewhere.push_back(upstream);
    }
    return m_quarantine.hasNews() || !report.failures.empty() || !report.idleUpstreams.empty() || !report.suspectedUpstreams.empty();
}

std::vector<idle_upstream> dispatch_core::takeIdleUpstreams(instant now)
{
    std::vector<idle_upstream> idle = m_choice.takeIdle(m_losses, now);
    for (const idle_upstream& it : idle)
        m_peerReport.idleUpstreams.push_back(it.id);
    return idle;
}

neighbour_report dispatch_core::takeReport(instant now)
{
    neighbour_report report;
    report.host = m_host;
    report.inFlight = m_choice.ownInFlight();
    report.attemptedUpstreams = m_choice.takeStarted();
    m_quotaReports.addTo(report, m_quota, now);
    report.samples = std::move(m_samples);
    m_samples.clear();
    report.quarantined = m_quarantine.takeForNeighbours(m_reachable, now);
    report.idleUpstreams = std::exchange(m_idleElsewhere, {});
    report.leavingUpstreams = std::exchange(m_leaving, {});
    cold_news news = m_choice.cold().takeNews();
    report.unreachableUpstreams = std::move(news.unreachable);
    report.suspectedUpstreams = std::exchange(m_suspectedElsewhere, {});
    report.suspectedUpstreams.insert(report.suspectedUpstreams.end(), news.suspected.begin(), news.suspected.end());
    m_peerReport.suspectedUpstreams.insert(m_peerReport.suspectedUpstreams.end(), news.suspected.begin(), news.suspected.end());
    report.outcomes = m_losses.takeOutcomes(now);
    return report;
}

dispatch_core::peer_report dispatch_core::takePeerReport()
{
    peer_report report = std::exchange(m_peerReport, {});
    report.quarantined = m_quarantine.takeForDataCentres();
    return report;
}

void dispatch_core::recordReport(const neighbour_report& report, instant now)
{
    const auto [place, isNewHost] = m_neighbours.try_emplace(report.host);
    neighbour_row& it = place->second;
    const bool hasRestarted = report.incarnation > it.incarnation;
    const bool isNewer = report.incarnation == it.incarnation && report.sequence > it.sequence;
    if (!hasRestarted && !isNewer)
        return;
    it.incarnation = report.incarnation;
    it.sequence = report.sequence;
    it.lastReceivedAt = now;
    if (isNewHost && !m_members.empty() && !m_members.count(report.host))
        setMembers(host_map(m_members), now);
    // When the fleet starts for the first time, the host's part of a bucket is added to this host's with its first report.
    m_quotaReports.apply(report, m_settings.quota.isFirstStart, m_quota, now);
    m_choice.setInFlight(report.host, report.inFlight, now);
    for (const std::string& upstream : report.attemptedUpstreams)
        m_choice.recordRemoteStart(upstream, now);
    for (const std::string& upstream : report.idleUpstreams)
        m_choice.requestTrial(upstream, now);
    for (const auto& [service, outcomes] : report.outcomes)
        m_losses.recordRemote(service, outcomes, now);
    for (const upstream_incarnation& incarnation : report.leavingUpstreams)
        m_choice.recordRemoteLeaving(incarnation, now);
    for (const neighbour_sample& sample : report.samples) {
        m_choice.recordRemoteResult(sample.upstream, sample.result, sample.latency, now, sample.relativeLatency);
        if (sample.result == attempt_result::Crashed) {
            m_quarantine.recordCrash(sample.fingerprint, sample.upstream, now);
            m_choice.cold().recordRemoteFailure(sample.upstream, report.host, false, now);
        }
    }
    for (const std::string& upstream : report.unreachableUpstreams)
        m_choice.cold().recordRemoteFailure(upstream, report.host, true, now);
    for (const std::string& upstream : report.suspectedUpstreams)
        m_choice.cold().recordRemoteSuspicion(upstream, now);
    m_quarantine.recordFromNeighbour(report.quarantined, now);
    tick(now);
}

void dispatch_core::tick(instant now)
{
    const auto isReachable = [now](const auto& it) { return now - it.second.lastReceivedAt <= neighbourTimeout; };
    const auto reachable = static_cast<unsigned>(std::count_if(m_neighbours.begin(), m_neighbours.end(), isReachable)) + 1;
    m_reachable = reachable;
    m_quota.setNeighbours(std::max(m_knownNeighbours, m_reachable), m_reachable);
    m_quarantine.tick(now);
    m_choice.expireAnnouncements(now);
    m_choice.cold().expire(now);
}

} // namespace almondmoor
