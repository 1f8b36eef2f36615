#include "Core/upstream_health.h"

#include <algorithm>
#include <cmath>

namespace almondmoor {

namespace {

    constexpr double minLatencyMs = 0.125;
    constexpr double bucketsPerDoubling = 2;
    // Number of samples that a service needs before its median latency is used.
    constexpr double minSamplesForMedian = 20;
    // Upper limit of scores, so that the recovery time does not depend on how long a fault lasted.
    constexpr double maxScore = 15;
    // All crash fingerprints are cleared at this interval.
    constexpr duration crashClearInterval = std::chrono::minutes(5);
    // The tests degenerate at rates close to 1.
    constexpr double maxBaseline = 0.95;

    // Returns the CUSUM step for one sample: the log-likelihood ratio of the unhealthy rate to the baseline rate.
    double scoreStep(bool isBad, double baseline, double unhealthyRate)
    {
        const double bad = std::max(unhealthyRate, std::min(baseline * 2, 0.99));
        return isBad ? std::log(bad / baseline) : std::log((1 - bad) / (1 - baseline));
    }

    double addToScore(double score, double step)
    {
        return std::clamp(score + step, 0.0, maxScore);
    }

} // namespace

std::uint8_t latencyBucket(duration latency)
{
    const double ms = std::max(toSeconds(latency) * 1000, minLatencyMs);
    const double bucket = std::floor(std::log2(ms / minLatencyMs) * bucketsPerDoubling);
    return static_cast<std::uint8_t>(std::min(bucket, 39.0));
}

duration bucketLowerBound(std::uint8_t bucket)
{
    return fromSeconds(minLatencyMs * std::exp2(bucket / bucketsPerDoubling) / 1000);
}

void upstream_health::applyConfiguration(const configuration& newConfiguration, instant now)
{
    for (const auto& [name, row] : newConfiguration.services())
        m_services[name].floor = row.floor;
    std::erase_if(m_rows, [&newConfiguration](const auto& entry) { return !newConfiguration.upstreams().count(entry.first); });
    for (const auto& [address, configured] : newConfiguration.upstreams()) {
        const auto [entry, isNew] = m_rows.try_emplace(address);
        upstream_health_row& row = entry->second;
        if (isNew) {
            row.nextEjectionTime = m_settings.initialEjectionTime;
            row.activeSince = now;
        }
        row.address = address;
        row.service = configured.service;
        row.slots = configured.slots;
        row.duty = configured.duty;
    }
}

void upstream_health::decay(service_row& row, instant now) const
{
    if (now <= row.decayedAt)
        return;
    const double factor = std::exp(-toSeconds(now - row.decayedAt) / toSeconds(m_settings.serviceWindow));
    row.samples *= factor;
    row.bad *= factor;
    row.slow *= factor;
    for (double& count : row.latencies)
        count *= factor;
    row.decayedAt = now;
}

std::uint8_t upstream_health::medianBucket(const service_row& row)
{
    double total = 0;
    for (const double count : row.latencies)
        total += count;
    double below = 0;
    for (std::size_t bucket = 0; bucket < row.latencies.size(); ++bucket) {
        below += row.latencies[bucket];
        if (below * 2 >= total)
            return static_cast<std::uint8_t>(bucket);
    }
    return 0;
}

bool upstream_health::countsForHealth(const std::string& dataCentre, const attempt_sample& sample)
{
    if (sample.result == attempt_result::Shed)
        return false;
    if (sample.result == attempt_result::Unreachable)
        return dataCentre == m_dataCentre;
    if (sample.result == attempt_result::Crashed && m_settings.ignoreRepeatedCrashes) {
        // A request that already crashed another upstream is the probable cause of this crash too.
        auto& crashedUpstreams = m_crashedUpstreams[sample.fingerprint];
        crashedUpstreams.insert(sample.upstream);
        return crashedUpstreams.size() == 1;
    }
    return true;
}

void upstream_health::updateScores(upstream_health_row& row, service_row& service, const attempt_sample& sample)
{
    const bool isBad = sample.result != attempt_result::Good;
    const double serviceSamples = std::max(service.samples, 1.0);
    double failBaseline = m_settings.baselineFailureRate;
    double slowBaseline = m_settings.baselineSlowRate;
    if (m_settings.compareWithService) {
        failBaseline = std::clamp(1.5 * service.bad / serviceSamples, failBaseline, maxBaseline);
        slowBaseline = std::clamp(1.5 * service.slow / serviceSamples, slowBaseline, maxBaseline);
    }
    const double slowBuckets = std::log2(m_settings.slowFactor) * bucketsPerDoubling;
    const bool hasMedian = service.samples >= minSamplesForMedian;
    const bool isSlow = hasMedian && sample.bucket >= medianBucket(service) + slowBuckets;
    for (std::uint32_t index = 0; index < sample.count; ++index) {
        row.failScore = addToScore(row.failScore, scoreStep(isBad, failBaseline, m_settings.unhealthyFailureRate));
        if (!isBad)
            row.slowScore = addToScore(row.slowScore, scoreStep(isSlow, slowBaseline, m_settings.unhealthySlowRate));
    }
    service.samples += sample.count;
    service.bad += isBad ? sample.count : 0;
    service.slow += isSlow && !isBad ? sample.count : 0;
    if (!isBad)
        service.latencies[std::min<std::size_t>(sample.bucket, bucketCount - 1)] += sample.count;
}

void upstream_health::recordSample(const std::string& host, const std::string& dataCentre, const attempt_sample& sample, instant now)
{
    const auto found = m_rows.find(sample.upstream);
    if (found == m_rows.end() || !countsForHealth(dataCentre, sample))
        return;
    upstream_health_row& row = found->second;
    service_row& service = m_services[row.service];
    decay(service, now);
    const double previousScore = row.score();
    updateScores(row, service, sample);
    row.lastSampleByHost[host] = now;
    if (row.score() > previousScore)
        row.lastBadSampleByHost[host] = now;
}

bool upstream_health::hasEnoughReporters(const upstream_health_row& row, instant now) const
{
    const auto recent = [&](const auto& entry) { return now - entry.second <= m_settings.reporterTtl; };
    const auto reporters = static_cast<std::size_t>(std::count_if(row.lastSampleByHost.begin(), row.lastSampleByHost.end(), recent));
    const auto badReporters = static_cast<std::size_t>(std::count_if(row.lastBadSampleByHost.begin(), row.lastBadSampleByHost.end(), recent));
    return badReporters > 0 && badReporters >= std::min(m_settings.minReporters, reporters);
}

bool upstream_health::isConfirmedUnhealthy(upstream_health_row& row, instant now) const
{
    if (row.score() < m_settings.ejectScore || !hasEnoughReporters(row, now)) {
        row.unhealthySince.reset();
        return false;
    }
    if (!row.unhealthySince)
        row.unhealthySince = now;
    return now - *row.unhealthySince >= m_settings.confirmationTime;
}

void upstream_health::changeState(upstream_health_row& row, upstream_state to, bool heldByFloor, instant now, std::vector<health_transition>& transitions) const
{
    if (row.state == to)
        return;
    transitions.push_back(health_transition { row.address, row.state, to, row.failScore, row.slowScore, heldByFloor });
    row.state = to;
    switch (to) {
    case upstream_state::Active:
        row.weight = 1;
        row.activeSince = now;
        break;
    case upstream_state::Suspect:
        row.weight = m_settings.suspectWeight;
        break;
    case upstream_state::Ejected:
        row.weight = 0;
        row.ejectedUntil = now + row.nextEjectionTime;
        row.nextEjectionTime = std::min(row.nextEjectionTime * 2, m_settings.maxEjectionTime);
        ++row.ejections;
        break;
    case upstream_state::Trial:
        row.weight = m_settings.trialWeight;
        row.trialSince = now;
        row.unhealthySince.reset();
        row.failScore = 0;
        row.slowScore = 0;
        break;
    }
}

void upstream_health::decayScores(instant now)
{
    if (m_scoresDecayedAt != distantPast && now > m_scoresDecayedAt) {
        const double factor = std::exp(-toSeconds(now - m_scoresDecayedAt) / toSeconds(m_settings.scoreDecayWindow));
        for (auto& [address, row] : m_rows) {
            row.failScore *= factor;
            row.slowScore *= factor;
        }
    }
    m_scoresDecayedAt = now;
}

void upstream_health::endEjection(upstream_health_row& row, instant now, std::vector<health_transition>& transitions) const
{
    if (row.state == upstream_state::Ejected && now >= *row.ejectedUntil)
        changeState(row, upstream_state::Trial, false, now, transitions);
}

void upstream_health::advanceTrial(upstream_health_row& row, instant now, std::vector<health_transition>& transitions) const
{
    if (row.state != upstream_state::Trial)
        return;
    const double fraction = toSeconds(now - *row.trialSince) / toSeconds(m_settings.trialDuration);
    row.weight = std::min(1.0, m_settings.trialWeight + (1 - m_settings.trialWeight) * fraction);
    if (fraction >= 1)
        changeState(row, upstream_state::Active, false, now, transitions);
}

bool upstream_health::isCorrelatedFailure(service_row& service, const std::vector<upstream_health_row*>& rows, instant now) const
{
    // The threshold is low enough for a single recent bad sample to reach it: when a whole service slows down,
    // its upstreams reach ejectScore one after the other.
    const double unhealthyScore = m_settings.suspectScore / 2;
    const auto used = std::count_if(rows.begin(), rows.end(), [](const upstream_health_row* row) { return !row->lastSampleByHost.empty() && row->state != upstream_state::Ejected; });
    const auto bad = std::count_if(rows.begin(), rows.end(), [unhealthyScore](const upstream_health_row* row) { return row->score() >= unhealthyScore && row->state != upstream_state::Ejected; });
    if (m_settings.compareWithService && used > 1 && static_cast<double>(bad) > m_settings.correlatedFraction * static_cast<double>(used))
        service.correlatedAt = now;
    return now - service.correlatedAt <= m_settings.correlatedTtl;
}

void upstream_health::updateService(service_row& service, std::vector<upstream_health_row*>& rows, instant now, std::vector<health_transition>& transitions) const
{
    double total = 0;
    double usable = 0;
    for (const upstream_health_row* row : rows) {
        if (row->duty != upstream_duty::Retired)
            total += row->slots;
        if (row->duty == upstream_duty::Serving && row->state != upstream_state::Ejected)
            usable += row->slots;
    }
    const double minUsable = m_settings.keepFloor ? service.floor * total : 0;

    const bool correlated = isCorrelatedFailure(service, rows, now);

    // Upstreams with the highest scores are ejected first. All hosts with the same samples compute the same order.
    std::sort(rows.begin(), rows.end(), [](const upstream_health_row* left, const upstream_health_row* right) {
        return left->score() != right->score() ? left->score() > right->score() : left->address < right->address;
    });
    for (upstream_health_row* row : rows) {
        if (row->state == upstream_state::Ejected)
            continue;
        const bool isBad = isConfirmedUnhealthy(*row, now) && !correlated;
        const double servingSlots = row->duty == upstream_duty::Serving ? row->slots : 0;
        if (isBad && usable - servingSlots >= minUsable) {
            changeState(*row, upstream_state::Ejected, false, now, transitions);
            usable -= servingSlots;
        } else if (row->score() >= m_settings.suspectScore) {
            changeState(*row, upstream_state::Suspect, isBad, now, transitions);
        } else if (row->state == upstream_state::Suspect && row->score() * 2 < m_settings.suspectScore) {
            changeState(*row, upstream_state::Active, false, now, transitions);
        }
    }
    // If usable capacity is below the floor, for example after a drain, the ejected upstreams with the lowest
    // scores return to use.
    for (auto entry = rows.rbegin(); entry != rows.rend() && usable < minUsable; ++entry) {
        upstream_health_row* row = *entry;
        if (row->state != upstream_state::Ejected || row->duty != upstream_duty::Serving)
            continue;
        changeState(*row, upstream_state::Suspect, true, now, transitions);
        usable += row->slots;
    }
}

std::vector<health_transition> upstream_health::tick(instant now)
{
    std::vector<health_transition> transitions;
    decayScores(now);
    std::map<std::string, std::vector<upstream_health_row*>> byService;
    for (auto& [address, row] : m_rows) {
        endEjection(row, now, transitions);
        advanceTrial(row, now, transitions);
        const bool isEjectionTimeReset = row.state == upstream_state::Active && now - row.activeSince >= m_settings.ejectionTimeResetDelay;
        if (isEjectionTimeReset)
            row.nextEjectionTime = m_settings.initialEjectionTime;
        byService[row.service].push_back(&row);
    }
    for (auto& [name, rows] : byService)
        updateService(m_services[name], rows, now, transitions);
    if (now - m_crashesClearedAt >= crashClearInterval) {
        m_crashedUpstreams.clear();
        m_crashesClearedAt = now;
    }
    return transitions;
}

const upstream_health_row* upstream_health::find(const std::string& upstream) const
{
    const auto found = m_rows.find(upstream);
    return found == m_rows.end() ? nullptr : &found->second;
}

double upstream_health::usableCapacity(const std::string& service) const
{
    double total = 0;
    double usable = 0;
    for (const auto& [address, row] : m_rows) {
        if (row.service != service || row.duty == upstream_duty::Retired)
            continue;
        total += row.slots;
        if (row.duty == upstream_duty::Serving && row.state != upstream_state::Ejected)
            usable += row.slots;
    }
    return total > 0 ? usable / total : 1;
}

duration upstream_health::medianLatency(const std::string& service) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || found->second.samples < minSamplesForMedian)
        return duration::zero();
    return bucketLowerBound(medianBucket(found->second));
}

} // namespace almondmoor
