#include "Core/dispatch_core.h"

#include "Core/rendezvous.h"

#include <algorithm>

namespace almondmoor {

namespace {

    // Part of the allowed retry ratio that hosts use, since each counts only its
    // own requests.
    constexpr double usedRetryRatio = 0.9;
    // Time for which a team's total is told after it changed, so that a lost report
    // is made good by the next.
    constexpr duration admittedRepeatTime = std::chrono::seconds(2);
    // A neighbour that was not heard for this long counts as unheard.
    constexpr duration neighbourTimeout = std::chrono::milliseconds(1500);

    retry_budget_settings budgetFor(const dispatch_settings& settings, unsigned hosts)
    {
        const double own = settings.retrySlack / std::max(1U, hosts);
        return { settings.retryRatio * usedRetryRatio, std::max(1.0, own), std::min(1.0, own) };
    }

} // namespace

dispatch_core::dispatch_core(const dispatch_settings& settings, std::string host, std::string dataCentre, region_map regions, std::uint64_t seed)
    : m_settings(settings)
    , m_host(std::move(host))
    , m_choice(settings.choice, std::move(dataCentre), std::move(regions), stableHash(m_host))
    , m_quota(settings.quota)
    , m_budget(budgetFor(settings, 1))
    , m_quarantine(settings.quarantine)
    , m_random(seed)
{
}

void dispatch_core::adoptPlan(const serving_plan& plan, instant now)
{
    m_quota.adopt(plan, now);
}

void dispatch_core::adoptDirectory(const upstream_directory& directory, instant now)
{
    m_choice.apply(directory, now);
}

void dispatch_core::setFleetSize(unsigned neighbours, unsigned hosts)
{
    m_knownNeighbours = std::max(1U, neighbours);
    m_budget.setLimits(budgetFor(m_settings, hosts));
    m_quota.setNeighbours(std::max(m_knownNeighbours, m_heard), m_heard);
}

double dispatch_core::draw()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

choice_result dispatch_core::choose(const choice_query& question, instant now)
{
    return m_choice.choose(question, now, m_random);
}

bool dispatch_core::takeRetry(const std::string& service)
{
    if (!m_budget.mayRetry(service))
        return false;
    m_budget.takeRetry(service);
    return true;
}

void dispatch_core::finishAttempt(const attempt_report& report, instant now)
{
    const report_audience audience = m_choice.finish(report.upstream, report.result, report.latency, now);
    if (report.result == work_result::Crashed)
        noteCrash(report.fingerprint, report.upstream, now);
    if (audience == report_audience::Nobody)
        return;
    const neighbour_sample sample { report.upstream, report.result, report.latency, report.result == work_result::Crashed ? report.fingerprint : 0 };
    m_samples.push_back(sample);
    if (audience == report_audience::Fleet)
        m_notice.failures.push_back(sample);
}

void dispatch_core::noteCrash(std::uint64_t fingerprint, const std::string& upstream, instant now)
{
    crash_row& it = m_crashes[fingerprint];
    it.lastAt = now;
    if (!it.upstreams.insert(upstream).second)
        return;
    const bool wasQuarantined = m_quarantine.isQuarantined(fingerprint, now);
    m_quarantine.noteCrash(fingerprint, now);
    if (!wasQuarantined && m_quarantine.isQuarantined(fingerprint, now))
        m_notice.quarantined.push_back(fingerprint);
}

void dispatch_core::quarantine(std::uint64_t fingerprint, instant now)
{
    while (!m_quarantine.isQuarantined(fingerprint, now))
        m_quarantine.noteCrash(fingerprint, now);
}

void dispatch_core::noteNotice(const notice& it, instant now)
{
    for (const neighbour_sample& sample : it.failures) {
        m_choice.recordRemoteResult(sample.upstream, sample.result, sample.latency, now);
        m_samples.push_back(sample);
    }
    for (const std::uint64_t fingerprint : it.quarantined) {
        quarantine(fingerprint, now);
        m_quarantined.push_back(fingerprint);
    }
    for (const std::string& upstream : it.wanted) {
        m_choice.requestTrial(upstream, now);
        m_wanted.push_back(upstream);
    }
}

std::vector<idle_upstream> dispatch_core::takeIdle(instant now)
{
    std::vector<idle_upstream> idle = m_choice.takeIdle(now);
    for (const idle_upstream& it : idle)
        m_notice.wanted.push_back(it.id);
    return idle;
}

neighbour_report dispatch_core::takeReport(instant now)
{
    neighbour_report report;
    report.host = m_host;
    report.inFlight = m_choice.ownInFlight();
    report.started = m_choice.takeStarted();
    for (const auto& [team, count] : m_quota.takeAdmitted()) {
        admitted_row& it = m_admitted[team];
        if (now - it.changedAt > admittedRepeatTime)
            it.count.before = it.count.total;
        it.count.total += count;
        it.changedAt = now;
    }
    for (const auto& [team, it] : m_admitted) {
        if (now - it.changedAt <= admittedRepeatTime)
            report.admitted[team] = it.count;
    }
    report.samples = std::move(m_samples);
    m_samples.clear();
    report.quarantined = std::exchange(m_quarantined, {});
    report.wanted = std::exchange(m_wanted, {});
    return report;
}

void dispatch_core::noteReport(const neighbour_report& report, instant now)
{
    neighbour_row& it = m_neighbours[report.host];
    const bool isNewStart = report.incarnation > it.incarnation;
    const bool isNewer = report.incarnation == it.incarnation && report.sequence > it.sequence;
    if (!isNewStart && !isNewer)
        return;
    // What a host admitted before it was first heard is left out.
    const bool isFirst = it.incarnation == 0;
    if (isNewStart)
        it.admitted.clear();
    it.incarnation = report.incarnation;
    it.sequence = report.sequence;
    it.heardAt = now;
    for (const auto& [team, count] : report.admitted) {
        std::uint64_t& known = it.admitted.try_emplace(team, isFirst ? count.total : count.before).first->second;
        if (count.total > known)
            m_quota.noteRemote(team, static_cast<double>(count.total - known), now);
        known = std::max(known, count.total);
    }
    m_choice.setInFlight(report.host, report.inFlight, now);
    for (const std::string& upstream : report.started)
        m_choice.recordRemoteStart(upstream, now);
    for (const std::string& upstream : report.wanted)
        m_choice.requestTrial(upstream, now);
    for (const neighbour_sample& sample : report.samples) {
        m_choice.recordRemoteResult(sample.upstream, sample.result, sample.latency, now);
        if (sample.result == work_result::Crashed)
            noteCrash(sample.fingerprint, sample.upstream, now);
    }
    for (const std::uint64_t fingerprint : report.quarantined)
        quarantine(fingerprint, now);
    tick(now);
}

void dispatch_core::tick(instant now)
{
    const auto isHeard = [now](const auto& it) { return now - it.second.heardAt <= neighbourTimeout; };
    const auto heard = static_cast<unsigned>(std::count_if(m_neighbours.begin(), m_neighbours.end(), isHeard)) + 1;
    m_heard = heard;
    m_quota.setNeighbours(std::max(m_knownNeighbours, m_heard), m_heard);
    m_quarantine.tick(now);
    std::erase_if(m_crashes, [&](const auto& it) { return now - it.second.lastAt > m_settings.crashMemory; });
}

} // namespace almondmoor
