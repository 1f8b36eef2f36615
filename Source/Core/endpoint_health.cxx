#include "Core/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace almondmoor {

namespace {

    constexpr double smallestLatencyMs = 0.125;
    constexpr double bucketsPerDoubling = 2;
    // Samples that a service needs before its median means anything.
    constexpr double leastSamplesForMedian = 20;
    // Scores stop here, so that recovery does not depend on how long a fault lasted.
    constexpr double greatestScore = 15;
    // Crash fingerprints are forgotten after this time.
    constexpr duration crashMemory = std::chrono::minutes(5);
    // Rates near 1 would make the tests degenerate.
    constexpr double greatestBaseline = 0.95;

    // Returns the step of a CUSUM test for one sample: the log-likelihood ratio of
    // the bad rate against the baseline rate.
    double evidenceStep(bool isBad, double baseline, double badRate)
    {
        const double bad = std::max(badRate, std::min(baseline * 2, 0.99));
        return isBad ? std::log(bad / baseline) : std::log((1 - bad) / (1 - baseline));
    }

    double addEvidence(double score, double step)
    {
        return std::clamp(score + step, 0.0, greatestScore);
    }

} // namespace

std::uint8_t latencyBucket(duration latency)
{
    const double ms = std::max(toSeconds(latency) * 1000, smallestLatencyMs);
    const double bucket = std::floor(std::log2(ms / smallestLatencyMs) * bucketsPerDoubling);
    return static_cast<std::uint8_t>(std::min(bucket, 39.0));
}

duration bucketFloor(std::uint8_t bucket)
{
    return fromSeconds(smallestLatencyMs * std::exp2(bucket / bucketsPerDoubling) / 1000);
}

void endpoint_health::adopt(const configuration& held, instant now)
{
    for (const auto& [name, row] : held.services())
        m_services[name].floor = row.floor;
    std::erase_if(m_rows, [&held](const auto& entry) { return !held.upstreams().count(entry.first); });
    for (const auto& [address, configured] : held.upstreams()) {
        const auto [entry, isNew] = m_rows.try_emplace(address);
        endpoint_row& row = entry->second;
        if (isNew) {
            row.nextHold = m_settings.firstHold;
            row.goodSince = now;
        }
        row.address = address;
        row.service = configured.service;
        row.slots = configured.slots;
        row.duty = configured.duty;
    }
}

void endpoint_health::decay(service_row& row, instant now) const
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

std::uint8_t endpoint_health::medianBucket(const service_row& row)
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

bool endpoint_health::isWorkEvidence(const std::string& dataCentre, const work_sample& sample)
{
    if (sample.result == work_result::Shed)
        return false;
    if (sample.result == work_result::Unreachable)
        return dataCentre == m_dataCentre;
    if (sample.result == work_result::Crashed && m_settings.ignoreRepeatedCrashes) {
        // A request that felled another upstream before is itself the suspect.
        auto& felled = m_crashes[sample.fingerprint];
        felled.insert(sample.upstream);
        return felled.size() == 1;
    }
    return true;
}

void endpoint_health::score(endpoint_row& row, service_row& service, const work_sample& sample)
{
    const bool isBad = sample.result != work_result::Good;
    const double others = std::max(service.samples, 1.0);
    double failBaseline = m_settings.ordinaryFailureRate;
    double slowBaseline = m_settings.ordinarySlowRate;
    if (m_settings.compareWithService) {
        failBaseline = std::clamp(1.5 * service.bad / others, failBaseline, greatestBaseline);
        slowBaseline = std::clamp(1.5 * service.slow / others, slowBaseline, greatestBaseline);
    }
    const double slowBuckets = std::log2(m_settings.slowFactor) * bucketsPerDoubling;
    const bool hasMedian = service.samples >= leastSamplesForMedian;
    const bool isSlow = hasMedian && sample.bucket >= medianBucket(service) + slowBuckets;
    for (std::uint32_t index = 0; index < sample.count; ++index) {
        row.failScore = addEvidence(row.failScore, evidenceStep(isBad, failBaseline, m_settings.failingRate));
        if (!isBad)
            row.slowScore = addEvidence(row.slowScore, evidenceStep(isSlow, slowBaseline, m_settings.slowRate));
    }
    service.samples += sample.count;
    service.bad += isBad ? sample.count : 0;
    service.slow += isSlow && !isBad ? sample.count : 0;
    if (!isBad)
        service.latencies[std::min<std::size_t>(sample.bucket, bucketCount - 1)] += sample.count;
}

void endpoint_health::note(const std::string& host, const std::string& dataCentre, const work_sample& sample, instant now)
{
    const auto found = m_rows.find(sample.upstream);
    if (found == m_rows.end() || !isWorkEvidence(dataCentre, sample))
        return;
    endpoint_row& row = found->second;
    service_row& service = m_services[row.service];
    decay(service, now);
    const double before = row.score();
    score(row, service, sample);
    row.witnesses[host] = now;
    if (row.score() > before)
        row.badWitnesses[host] = now;
}

bool endpoint_health::hasWitnesses(const endpoint_row& row, instant now) const
{
    const auto recent = [&](const auto& entry) { return now - entry.second <= m_settings.witnessMemory; };
    const auto users = static_cast<std::size_t>(std::count_if(row.witnesses.begin(), row.witnesses.end(), recent));
    const auto accusers = static_cast<std::size_t>(std::count_if(row.badWitnesses.begin(), row.badWitnesses.end(), recent));
    return accusers > 0 && accusers >= std::min(m_settings.leastWitnesses, users);
}

bool endpoint_health::isConfirmedBad(endpoint_row& row, instant now) const
{
    if (row.score() < m_settings.ejectScore || !hasWitnesses(row, now)) {
        row.badSince.reset();
        return false;
    }
    if (!row.badSince)
        row.badSince = now;
    return now - *row.badSince >= m_settings.confirmFor;
}

void endpoint_health::moveTo(endpoint_row& row, endpoint_state to, bool heldByFloor, instant now, std::vector<health_transition>& moved) const
{
    if (row.state == to)
        return;
    moved.push_back(health_transition { row.address, row.state, to, row.failScore, row.slowScore, heldByFloor });
    row.state = to;
    switch (to) {
    case endpoint_state::Active:
        row.weight = 1;
        row.goodSince = now;
        break;
    case endpoint_state::Suspect:
        row.weight = m_settings.suspectWeight;
        break;
    case endpoint_state::Ejected:
        row.weight = 0;
        row.holdUntil = now + row.nextHold;
        row.nextHold = std::min(row.nextHold * 2, m_settings.longestHold);
        ++row.ejections;
        break;
    case endpoint_state::Trial:
        row.weight = m_settings.trialWeight;
        row.trialSince = now;
        row.badSince.reset();
        row.failScore = 0;
        row.slowScore = 0;
        break;
    }
}

void endpoint_health::fadeEvidence(instant now)
{
    if (m_fadedAt != longAgo && now > m_fadedAt) {
        const double factor = std::exp(-toSeconds(now - m_fadedAt) / toSeconds(m_settings.evidenceMemory));
        for (auto& [address, row] : m_rows) {
            row.failScore *= factor;
            row.slowScore *= factor;
        }
    }
    m_fadedAt = now;
}

void endpoint_health::endHold(endpoint_row& row, instant now, std::vector<health_transition>& moved) const
{
    if (row.state == endpoint_state::Ejected && now >= *row.holdUntil)
        moveTo(row, endpoint_state::Trial, false, now, moved);
}

void endpoint_health::growTrial(endpoint_row& row, instant now, std::vector<health_transition>& moved) const
{
    if (row.state != endpoint_state::Trial)
        return;
    const double part = toSeconds(now - *row.trialSince) / toSeconds(m_settings.trialLength);
    row.weight = std::min(1.0, m_settings.trialWeight + (1 - m_settings.trialWeight) * part);
    if (part >= 1)
        moveTo(row, endpoint_state::Active, false, now, moved);
}

bool endpoint_health::isCorrelated(service_row& service, const std::vector<endpoint_row*>& rows, instant now) const
{
    // One bad answer of late is enough to look bad: when a whole service turns
    // slow, its upstreams reach the ejecting score one after the other.
    const double looksBad = m_settings.suspectScore / 2;
    const auto used = std::count_if(rows.begin(), rows.end(), [](const endpoint_row* row) { return !row->witnesses.empty() && row->state != endpoint_state::Ejected; });
    const auto bad = std::count_if(rows.begin(), rows.end(), [looksBad](const endpoint_row* row) { return row->score() >= looksBad && row->state != endpoint_state::Ejected; });
    if (m_settings.compareWithService && used > 1 && static_cast<double>(bad) > m_settings.correlatedPart * static_cast<double>(used))
        service.correlatedAt = now;
    return now - service.correlatedAt <= m_settings.correlatedMemory;
}

void endpoint_health::tickService(service_row& service, std::vector<endpoint_row*>& rows, instant now, std::vector<health_transition>& moved) const
{
    double total = 0;
    double usable = 0;
    for (const endpoint_row* row : rows) {
        if (row->duty != upstream_duty::Retired)
            total += row->slots;
        if (row->duty == upstream_duty::Serving && row->state != endpoint_state::Ejected)
            usable += row->slots;
    }
    const double least = m_settings.keepFloor ? service.floor * total : 0;

    const bool correlated = isCorrelated(service, rows, now);

    // The worst go first; all hosts rank alike from the same evidence.
    std::sort(rows.begin(), rows.end(), [](const endpoint_row* left, const endpoint_row* right) {
        return left->score() != right->score() ? left->score() > right->score() : left->address < right->address;
    });
    for (endpoint_row* row : rows) {
        if (row->state == endpoint_state::Ejected)
            continue;
        const bool isBad = isConfirmedBad(*row, now) && !correlated;
        const double given = row->duty == upstream_duty::Serving ? row->slots : 0;
        if (isBad && usable - given >= least) {
            moveTo(*row, endpoint_state::Ejected, false, now, moved);
            usable -= given;
        } else if (row->score() >= m_settings.suspectScore) {
            moveTo(*row, endpoint_state::Suspect, isBad, now, moved);
        } else if (row->state == endpoint_state::Suspect && row->score() * 2 < m_settings.suspectScore) {
            moveTo(*row, endpoint_state::Active, false, now, moved);
        }
    }
    // Below the floor, for example after a drain, the least bad come back.
    for (auto entry = rows.rbegin(); entry != rows.rend() && usable < least; ++entry) {
        endpoint_row* row = *entry;
        if (row->state != endpoint_state::Ejected || row->duty != upstream_duty::Serving)
            continue;
        moveTo(*row, endpoint_state::Suspect, true, now, moved);
        usable += row->slots;
    }
}

std::vector<health_transition> endpoint_health::tick(instant now)
{
    std::vector<health_transition> moved;
    fadeEvidence(now);
    std::map<std::string, std::vector<endpoint_row*>> byService;
    for (auto& [address, row] : m_rows) {
        endHold(row, now, moved);
        growTrial(row, now, moved);
        const bool isForgiven = row.state == endpoint_state::Active && now - row.goodSince >= m_settings.forgiveAfter;
        if (isForgiven)
            row.nextHold = m_settings.firstHold;
        byService[row.service].push_back(&row);
    }
    for (auto& [name, rows] : byService)
        tickService(m_services[name], rows, now, moved);
    if (now - m_crashesSince >= crashMemory) {
        m_crashes.clear();
        m_crashesSince = now;
    }
    return moved;
}

const endpoint_row* endpoint_health::find(const std::string& upstream) const
{
    const auto found = m_rows.find(upstream);
    return found == m_rows.end() ? nullptr : &found->second;
}

double endpoint_health::usableCapacity(const std::string& service) const
{
    double total = 0;
    double usable = 0;
    for (const auto& [address, row] : m_rows) {
        if (row.service != service || row.duty == upstream_duty::Retired)
            continue;
        total += row.slots;
        if (row.duty == upstream_duty::Serving && row.state != endpoint_state::Ejected)
            usable += row.slots;
    }
    return total > 0 ? usable / total : 1;
}

duration endpoint_health::medianLatency(const std::string& service) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || found->second.samples < leastSamplesForMedian)
        return duration::zero();
    return bucketFloor(medianBucket(found->second));
}

} // namespace almondmoor
