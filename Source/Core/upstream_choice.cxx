#include "Core/upstream_choice.h"

#include "Core/moving_average.h"
#include "Core/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace almondmoor {

namespace {

    // Probability from which on an upstream is reported to the fleet as failing.
    constexpr double failingThreshold = 0.5;
    // Limits of the failing probability: near 0 or 1, single results could not change it.
    constexpr double minProbability = 0.01;
    constexpr double maxProbability = 0.995;
    // Minimum target latency to which costs are related; prevents a division by zero.
    constexpr double minTargetSeconds = 0.001;
    // Number of upstreams that the failure model counts as when the share of failing ones of
    // a service is estimated.
    constexpr double modelWeight = 10;
    // Time after the last result for which an upstream counts for that share, and the
    // interval of the estimate.
    constexpr duration failingShareWindow = std::chrono::seconds(10);
    constexpr duration failingShareInterval = std::chrono::milliseconds(200);
    // Weight of one failure in the moving average of the time until failures are noticed.
    constexpr double failureLatencyWeight = 0.5;
    // Maximum number of times that the avoidance time is doubled; prevents an overflow.
    constexpr unsigned maxDoublings = 8;

    const region_limit unlimited;

} // namespace

distance_tier upstream_choice::tierOf(const std::string& dataCentre) const
{
    if (dataCentre == m_dataCentre)
        return distance_tier::SameDataCentre;
    return isSameRegion(m_regions, m_dataCentre, dataCentre) ? distance_tier::SameRegion : distance_tier::OtherRegion;
}

void upstream_choice::apply(const upstream_directory& directory, instant now)
{
    std::erase_if(m_rows, [&directory](const auto& item) { return !directory.count(item.first); });
    m_byService.clear();
    for (const auto& [id, entry] : directory) {
        const auto [place, isNew] = m_rows.try_emplace(id);
        row& upstream = place->second;
        if (isNew) {
            upstream.preference = static_cast<double>(stableHash(id, m_seed)) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
            upstream.failingProbability = steadyStateProbability(entry.service);
            upstream.failingProbabilityAt = now;
            upstream.slownessAt = now;
            upstream.usedByHostAt = now - m_settings.maxExplorationTime;
            upstream.usedByDataCentreAt = now;
        }
        upstream.entry = entry;
        upstream.tier = tierOf(entry.dataCentre);
        const auto region = m_regions.find(entry.dataCentre);
        upstream.region = region == m_regions.end() ? std::string() : region->second;
        upstream.isEvacuated = m_evacuated.count(entry.dataCentre) > 0;
        m_byService[entry.service].push_back(&upstream);
    }
    recountPeersInFlight();
    m_cold.apply(directory, now);
}

void upstream_choice::setEvacuated(std::set<std::string> dataCentres, instant now)
{
    m_evacuated = std::move(dataCentres);
    for (auto& [id, upstream] : m_rows) {
        const bool wasEvacuated = std::exchange(upstream.isEvacuated, m_evacuated.count(upstream.entry.dataCentre) > 0);
        if (wasEvacuated && !upstream.isEvacuated)
            upstream.usedByDataCentreAt = now;
    }
}

std::size_t upstream_choice::evacuatedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_rows.begin(), m_rows.end(), [](const auto& item) { return item.second.isEvacuated; }));
}

upstream_choice::exclusion upstream_choice::exclusionOf(const row& upstream, const region_limit& homes)
{
    if (!homes.allows(upstream.region))
        return exclusion::OutsideHomes;
    return upstream.isEvacuated ? exclusion::Evacuated : exclusion::None;
}

bool upstream_choice::isAllowedForAny(const row& upstream) const
{
    const auto homes = m_serviceHomes.find(upstream.entry.service);
    return isAllowed(upstream, homes == m_serviceHomes.end() ? region_limit() : homes->second);
}

double upstream_choice::expectedWait(const row& upstream, const expected_latency& expected) const
{
    // The requests in the queue are of all routes.
    const double latency = upstream.slowness * expected.ofService;
    const double inFlight = upstream.ownInFlight + upstream.peersInFlight;
    const double queued = inFlight + 1 - upstream.entry.slots;
    return queued <= 0 ? 0 : queued / upstream.entry.slots * latency;
}

double upstream_choice::expectedCost(const row& upstream, const choice_query& query, const expected_latency& expected, instant now) const
{
    const double latency = upstream.slowness * expected.ofRoute;
    const double target = toSeconds(query.targetLatency);
    const double inFlight = upstream.ownInFlight + upstream.peersInFlight;
    const bool isCold = now < upstream.entry.coldUntil;
    const double serviceTime = latency * (isCold ? m_settings.coldFactor : 1) * (1 + m_settings.occupancyCost * inFlight / upstream.entry.slots);
    double cost = serviceTime + expectedWait(upstream, expected) + m_settings.preferenceCost * upstream.preference * latency;
    if (upstream.tier == distance_tier::SameRegion)
        cost += m_settings.sameRegionCost * target;
    else if (upstream.tier == distance_tier::OtherRegion)
        cost += m_settings.otherRegionCost * target;
    if (now - upstream.shedAt < m_settings.shedTtl)
        cost += toSeconds(m_settings.shedCost);
    // A retry is lost as often as other requests are.
    const double lostCost = m_settings.failureCost * target;
    cost += upstream.failingProbability * (query.canRetry ? upstream.failureLatency + toSeconds(m_settings.retryCost) + query.lossShare * lostCost : lostCost);
    if (upstream.tier == distance_tier::SameDataCentre) {
        const duration unusedTime = std::min(now - upstream.usedByHostAt, m_settings.maxExplorationTime);
        cost -= toSeconds(unusedTime) * toSeconds(m_settings.explorationBonusPerSecond);
    }
    return cost;
}

choice_result upstream_choice::choose(const choice_query& query, instant now, std::mt19937_64& random)
{
    removeExpiredPeers(now);
    m_targetLatency[query.service] = query.targetLatency;
    choice_result result;
    const auto found = m_byService.find(query.service);
    if (found == m_byService.end())
        return result;
    updateFailingShare(query.service, now);
    const double steadyState = steadyStateProbability(query.service);
    const expected_latency expected = latencyOf(query);
    std::uniform_real_distribution<double> jitter(0, m_settings.jitter * expected.ofRoute);
    // Only the first attempt of a request may be a trial; a retry goes to the best upstream.
    const bool canBeTrial = !query.tried || query.tried->empty();
    const trial_request trialRequest { query.canRetry, m_trials.recordPriority(query.service, query.priority, now), query.lossShare };
    std::vector<due_trial> dueTrials;
    coverage_estimate coverage;
    row* best = nullptr;
    double bestCost = std::numeric_limits<double>::infinity();
    double minWait = std::numeric_limits<double>::infinity();
    const region_limit& homes = query.homes ? *query.homes : unlimited;
    bool isAnyAllowed = false;
    for (row* candidate : found->second) {
        row& upstream = *candidate;
        if (isLeaving(upstream))
            continue;
        const exclusion excluded = exclusionOf(upstream, homes);
        if (excluded != exclusion::None) {
            // Evacuations end, so the client is told of them first.
            if (result.refusal != choice_refusal::Evacuated)
                result.refusal = excluded == exclusion::Evacuated ? choice_refusal::Evacuated : choice_refusal::OutsideHomes;
            continue;
        }
        isAnyAllowed = true;
        if (query.tried && query.tried->count(upstream.entry.id))
            continue;
        const duration pause = m_announcements.pausedUntil(incarnationOf(upstream)) - now;
        if (pause > duration::zero()) {
            minWait = std::min(minWait, toSeconds(pause));
            continue;
        }
        const duration coldPause = m_cold.nextUse(upstream.entry.id, now) - now;
        if (coldPause > duration::zero()) {
            ++result.coldDenied;
            minWait = std::min(minWait, toSeconds(coldPause));
            continue;
        }
        decayEstimates(upstream, steadyState, now);
        if (upstream.tier == distance_tier::SameDataCentre)
            coverage.add(upstream.failingProbability, isInUse(upstream, now));
        const double wait = expectedWait(upstream, expected);
        minWait = std::min(minWait, wait);
        if (isQueueFull(upstream) || wait >= toSeconds(query.timeLeft) || (query.maxWait && wait > toSeconds(*query.maxWait)))
            continue;
        double cost = expectedCost(upstream, query, expected, now) + jitter(random);
        // An upstream that this host cannot connect to is the last resort.
        if (now < upstream.avoidedUntil)
            cost += m_settings.failureCost * toSeconds(query.targetLatency);
        if (cost < bestCost) {
            best = &upstream;
            bestCost = cost;
        }
        if (!canBeTrial || now < upstream.avoidedUntil)
            continue;
        trial_candidate candidateForTrial = trialCandidate(upstream, now);
        if (!m_trials.isDue(candidateForTrial, trialRequest))
            continue;
        candidateForTrial.rank = trialRank(upstream);
        if (const auto overdueTime = m_trials.overdueTime(candidateForTrial, trialRequest))
            dueTrials.push_back({ &upstream, candidateForTrial, *overdueTime, cost });
    }
    for (due_trial& trial : dueTrials)
        trial.candidate.excessCost = (trial.cost - bestCost) / std::max(minTargetSeconds, toSeconds(query.targetLatency));
    row* const trial = chooseTrial(dueTrials, trialRequest, coverage.fraction(), result.trialDenial);
    row* const chosen = trial ? trial : best;
    if (!chosen) {
        if (isAnyAllowed)
            result.refusal = std::isfinite(minWait) ? choice_refusal::NoCapacity : choice_refusal::NoUpstream;
        result.timeUntilCapacity = std::isfinite(minWait) ? fromSeconds(minWait) : duration::zero();
        return result;
    }
    startRequest(*chosen, trial != nullptr, now, result);
    result.isCold = m_cold.recordUse(chosen->entry.id, now);
    return result;
}

service_room upstream_choice::roomOf(const choice_query& query, instant now)
{
    removeExpiredPeers(now);
    service_room room;
    const expected_latency expected = latencyOf(query);
    room.usualLatency = fromSeconds(expected.ofService);
    room.reportingHosts = static_cast<unsigned>(m_peers.size()) + 1;
    for (const auto& [host, peer] : m_peers)
        room.reportAge = std::max(room.reportAge, now - peer.lastReceivedAt);
    const auto found = m_byService.find(query.service);
    if (found == m_byService.end())
        return room;
    const region_limit& homes = query.homes ? *query.homes : unlimited;
    for (const row* candidate : found->second) {
        const row& upstream = *candidate;
        const bool isTried = query.tried && query.tried->count(upstream.entry.id) > 0;
        if (isTried || !isAllowed(upstream, homes) || !acceptsRequests(upstream, now) || now < upstream.avoidedUntil || upstream.failingProbability >= failingThreshold)
            continue;
        if (upstream.tier != distance_tier::SameDataCentre) {
            room.hasUpstreamElsewhere = true;
            continue;
        }
        room.slots += upstream.entry.slots;
        room.inFlight += upstream.ownInFlight + upstream.peersInFlight;
        const duration wait = fromSeconds(expectedWait(upstream, expected));
        room.wait = room.wait ? std::min(*room.wait, wait) : wait;
    }
    return room;
}

const std::string* upstream_choice::serviceElsewhere(const std::string& id) const
{
    const auto found = m_rows.find(id);
    return found == m_rows.end() || found->second.tier == distance_tier::SameDataCentre ? nullptr : &found->second.entry.service;
}

void upstream_choice::startRequest(row& upstream, bool isTrial, instant now, choice_result& result) const
{
    result.inFlight = upstream.ownInFlight + upstream.peersInFlight;
    result.isBusy = result.inFlight >= m_settings.busyFraction * upstream.entry.slots;
    result.isTrial = isTrial;
    result.failingProbability = upstream.failingProbability;
    result.upstream = &upstream.entry;
    result.tier = upstream.tier;
    ++upstream.ownInFlight;
    upstream.usedByHostAt = now;
    upstream.isStartUnreported = true;
    recordStart(upstream, now);
}

trial_candidate upstream_choice::trialCandidate(const row& upstream, instant now) const
{
    trial_candidate candidate;
    candidate.isSameDataCentre = upstream.tier == distance_tier::SameDataCentre;
    candidate.unusedTime = now - upstream.usedByDataCentreAt;
    const bool isRequested = upstream.usedByDataCentreAt < upstream.trialRequestedAt && now - upstream.trialRequestedAt < m_settings.trials.requestTtl;
    if (isRequested)
        candidate.requestedFor = now - upstream.trialRequestedAt;
    candidate.failingProbability = upstream.failingProbability;
    candidate.badResults = upstream.consecutiveBadResults;
    candidate.failedTrials = upstream.failedTrials;
    candidate.inFlight = upstream.ownInFlight + upstream.peersInFlight;
    candidate.slots = upstream.entry.slots;
    candidate.hosts = static_cast<unsigned>(m_peers.size()) + 1;
    return candidate;
}

upstream_choice::row* upstream_choice::chooseTrial(const std::vector<due_trial>& dueTrials, const trial_request& request, double coverage, std::optional<trial_denial>& denial) const
{
    const due_trial* chosen = nullptr;
    const auto isBetter = [&request](const due_trial& it, const due_trial& other) {
        return request.canRetry ? it.overdueTime > other.overdueTime : it.candidate.failingProbability < other.candidate.failingProbability;
    };
    for (const due_trial& it : dueTrials) {
        const auto reason = m_trials.denial(it.candidate, request, coverage, it.overdueTime);
        if (reason)
            denial = reason;
        else if (!chosen || isBetter(it, *chosen))
            chosen = &it;
    }
    return chosen ? chosen->upstream : nullptr;
}

double upstream_choice::coverageOf(const std::string& service, instant now)
{
    coverage_estimate coverage;
    for (row* upstream : m_byService[service]) {
        if (upstream->tier != distance_tier::SameDataCentre || !acceptsRequests(*upstream, now))
            continue;
        decayEstimates(*upstream, now);
        coverage.add(upstream->failingProbability, isInUse(*upstream, now));
    }
    return coverage.fraction();
}

void upstream_choice::requestTrial(const std::string& id, instant now)
{
    const auto found = m_rows.find(id);
    if (found != m_rows.end())
        found->second.trialRequestedAt = now;
}

unsigned upstream_choice::trialRank(const row& upstream) const
{
    const std::uint64_t own = stableHash(upstream.entry.id, m_seed);
    const auto isEarlier = [&](const auto& peer) { return stableHash(upstream.entry.id, peer.second.seed) < own; };
    return static_cast<unsigned>(std::count_if(m_peers.begin(), m_peers.end(), isEarlier));
}

double upstream_choice::steadyStateProbability(const std::string& service) const
{
    const auto found = m_failingShares.find(service);
    if (found != m_failingShares.end())
        return found->second.share;
    const failure_model& model = m_settings.failures;
    return model.onsetRate / (model.onsetRate + model.recoveryRate);
}

void upstream_choice::updateFailingShare(const std::string& service, instant now)
{
    const failure_model& model = m_settings.failures;
    failing_share& estimate = m_failingShares.try_emplace(service, failing_share { steadyStateProbability(service) }).first->second;
    if (now - estimate.at < failingShareInterval)
        return;
    double count = modelWeight;
    double failing = modelWeight * model.onsetRate / (model.onsetRate + model.recoveryRate);
    for (const row* upstream : m_byService[service]) {
        if (now - upstream->lastResultAt > failingShareWindow)
            continue;
        ++count;
        failing += upstream->failingProbability;
    }
    estimate = { failing / count, now };
}

void upstream_choice::decayEstimates(row& upstream, double steadyState, instant now) const
{
    if (now <= upstream.failingProbabilityAt)
        return;
    const failure_model& model = m_settings.failures;
    const double probabilityDecay = std::exp(-toSeconds(now - upstream.failingProbabilityAt) * (model.onsetRate + model.recoveryRate));
    upstream.failingProbability = steadyState + (upstream.failingProbability - steadyState) * probabilityDecay;
    upstream.failingProbabilityAt = now;
    const double latencyDecay = std::exp(-toSeconds(now - upstream.slownessAt) / toSeconds(m_settings.latencyWindow));
    upstream.slowness = 1 + (upstream.slowness - 1) * latencyDecay;
    upstream.slownessAt = now;
}

void upstream_choice::updateProbability(row& upstream, double whileFailing, double whileHealthy) const
{
    const double failingWeight = upstream.failingProbability * whileFailing;
    const double healthyWeight = (1 - upstream.failingProbability) * whileHealthy;
    upstream.failingProbability = std::clamp(failingWeight / (failingWeight + healthyWeight), minProbability, maxProbability);
}

void upstream_choice::recordResult(row& upstream, attempt_result result, duration latency, double relativeLatency, instant now) const
{
    decayEstimates(upstream, now);
    const failure_model& model = m_settings.failures;
    const bool isBad = result == attempt_result::Failed || result == attempt_result::Crashed;
    if (isBad && m_trials.isFailedTrial(upstream.failingProbability, now - upstream.lastResultAt))
        ++upstream.failedTrials;
    if (isBad || result == attempt_result::Good)
        upstream.lastResultAt = now;
    switch (result) {
    case attempt_result::Good: {
        updateProbability(upstream, model.goodWhileFailing, model.goodWhileHealthy);
        if (upstream.failingProbability < m_settings.trials.failingProbability)
            upstream.failedTrials = 0;
        upstream.slowness = movingAverage(upstream.slowness, relativeLatency, m_settings.latencyWeight);
        upstream.consecutiveBadResults = relativeLatency >= m_settings.slowResponseFactor ? upstream.consecutiveBadResults + 1 : 0;
        break;
    }
    case attempt_result::Failed:
        updateProbability(upstream, model.errorWhileFailing, model.errorWhileHealthy);
        ++upstream.consecutiveBadResults;
        upstream.failureLatency = movingAverage(upstream.failureLatency, toSeconds(latency), failureLatencyWeight);
        break;
    case attempt_result::Crashed:
        updateProbability(upstream, model.lostWhileFailing, model.lostWhileHealthy);
        ++upstream.consecutiveBadResults;
        upstream.failureLatency = movingAverage(upstream.failureLatency, toSeconds(latency), failureLatencyWeight);
        break;
    case attempt_result::Shed:
        upstream.shedAt = now;
        break;
    case attempt_result::Unreachable:
        break;
    }
}

bool upstream_choice::isUnexpected(const row& upstream, attempt_result result, double relativeLatency) const
{
    if (result != attempt_result::Good || upstream.failingProbability >= m_settings.suspectProbability)
        return true;
    return relativeLatency >= m_settings.slowResponseFactor || upstream.slowness >= m_settings.slowUpstreamFactor;
}

double upstream_choice::relativeLatency(const std::string& id, const std::string& route, duration latency) const
{
    const auto found = m_rows.find(id);
    return found == m_rows.end() ? 1 : m_latencies.relativeLatency(found->second.entry.service, route, latency);
}

report_audience upstream_choice::finish(const std::string& id, attempt_result result, duration latency, instant now, const std::string& route)
{
    const auto found = m_rows.find(id);
    if (found == m_rows.end())
        return report_audience::Nobody;
    row& upstream = found->second;
    release(id);
    m_cold.recordResult(id, result, latency, now);
    decayEstimates(upstream, now);
    const double previousProbability = upstream.failingProbability;
    const double relative = m_latencies.relativeLatency(upstream.entry.service, route, latency);
    const bool isUnexpectedResult = isUnexpected(upstream, result, relative);
    recordResult(upstream, result, latency, relative, now);
    if (result == attempt_result::Good)
        m_latencies.record(upstream.entry.service, route, latency);
    if (result == attempt_result::Unreachable) {
        // A failure of this host to connect says nothing about the path of other hosts.
        const unsigned doublings = std::min(upstream.failedConnects++, maxDoublings);
        upstream.avoidedUntil = now + std::min(m_settings.initialAvoidanceTime * (1 << doublings), m_settings.maxAvoidanceTime);
        return report_audience::Nobody;
    }
    upstream.failedConnects = 0;
    if (previousProbability < failingThreshold && upstream.failingProbability >= failingThreshold)
        return report_audience::Fleet;
    return isUnexpectedResult ? report_audience::DataCentre : report_audience::Nobody;
}

void upstream_choice::release(const std::string& id)
{
    const auto found = m_rows.find(id);
    if (found != m_rows.end() && found->second.ownInFlight > 0)
        --found->second.ownInFlight;
}

void upstream_choice::recordRemoteResult(const std::string& id, attempt_result result, duration latency, instant now, std::optional<double> relative)
{
    const auto found = m_rows.find(id);
    if (found != m_rows.end())
        recordResult(found->second, result, latency, relative.value_or(m_latencies.relativeLatency(found->second.entry.service, {}, latency)), now);
}

void upstream_choice::setInFlight(const std::string& host, const std::map<std::string, unsigned>& counts, instant now)
{
    peer_row& peer = m_peers.try_emplace(host, peer_row { stableHash(host), {}, now }).first->second;
    peer.lastReceivedAt = now;
    if (peer.counts == counts)
        return;
    addPeerInFlight(peer, -1);
    peer.counts = counts;
    addPeerInFlight(peer, 1);
}

void upstream_choice::removeExpiredPeers(instant now)
{
    const auto erased = std::erase_if(m_peers, [&](const auto& item) { return now - item.second.lastReceivedAt > m_settings.inFlightTtl; });
    if (erased > 0)
        recountPeersInFlight();
}

void upstream_choice::addPeerInFlight(const peer_row& peer, int sign)
{
    for (const auto& [id, count] : peer.counts) {
        const auto found = m_rows.find(id);
        if (found != m_rows.end())
            found->second.peersInFlight += static_cast<unsigned>(sign) * count;
    }
}

void upstream_choice::recountPeersInFlight()
{
    for (auto& [id, upstream] : m_rows)
        upstream.peersInFlight = 0;
    for (const auto& [host, peer] : m_peers)
        addPeerInFlight(peer, 1);
}

std::map<std::string, unsigned> upstream_choice::ownInFlight() const
{
    std::map<std::string, unsigned> counts;
    for (const auto& [id, upstream] : m_rows) {
        if (upstream.ownInFlight > 0)
            counts[id] = upstream.ownInFlight;
    }
    return counts;
}

std::vector<std::string> upstream_choice::takeStarted()
{
    std::vector<std::string> started;
    for (auto& [id, upstream] : m_rows) {
        if (std::exchange(upstream.isStartUnreported, false))
            started.push_back(id);
    }
    return started;
}

void upstream_choice::recordStart(row& upstream, instant now) const
{
    upstream.usedByDataCentreAt = now;
}

void upstream_choice::recordRemoteStart(const std::string& id, instant now)
{
    const auto found = m_rows.find(id);
    if (found != m_rows.end())
        recordStart(found->second, now);
}

double upstream_choice::minExpectedCost(const choice_query& query, instant now)
{
    double minCost = std::numeric_limits<double>::infinity();
    const expected_latency expected = latencyOf(query);
    for (row* upstream : m_byService[query.service]) {
        decayEstimates(*upstream, now);
        if (acceptsRequests(*upstream, now))
            minCost = std::min(minCost, expectedCost(*upstream, query, expected, now));
    }
    return minCost;
}

std::vector<idle_upstream> upstream_choice::takeIdle(const service_losses& losses, instant now)
{
    std::vector<idle_upstream> idle;
    for (auto& [id, upstream] : m_rows) {
        if (upstream.tier != distance_tier::SameDataCentre || !acceptsRequests(upstream, now) || m_cold.isCold(id, now) || !isAllowedForAny(upstream))
            continue;
        decayEstimates(upstream, now);
        trial_candidate candidate = trialCandidate(upstream, now);
        candidate.unusedTime = now - std::max(upstream.usedByDataCentreAt, upstream.idleReportedAt);
        // Only the host with the first turn reports it.
        if (!m_trials.isIdle(candidate) || trialRank(upstream) > 0)
            continue;
        const std::optional<double> lossShare = losses.share(upstream.entry.service, now);
        if (lossShare && m_trials.denial(candidate, { false, false, *lossShare }, coverageOf(upstream.entry.service, now), candidate.unusedTime))
            continue;
        upstream.idleReportedAt = now;
        choice_query query { upstream.entry.service, true, nullptr, duration::max(), m_targetLatency[upstream.entry.service] };
        const double idempotentMinCost = minExpectedCost(query, now);
        const double idempotentExcessCost = expectedCost(upstream, query, latencyOf(query), now) - idempotentMinCost;
        query.canRetry = false;
        const double otherMinCost = minExpectedCost(query, now);
        const double otherExcessCost = expectedCost(upstream, query, latencyOf(query), now) - otherMinCost;
        idle.push_back({ id, upstream.entry.service, now - upstream.usedByDataCentreAt, upstream.failingProbability, upstream.slowness, upstream.failureLatency, upstream.ownInFlight + upstream.peersInFlight, now < upstream.avoidedUntil, idempotentExcessCost, otherExcessCost });
    }
    return idle;
}

bool upstream_choice::recordAnnouncement(const upstream_incarnation& incarnation, const upstream_announcement& announcement, instant now)
{
    if (announcement.pause)
        m_announcements.recordPause(incarnation, *announcement.pause, now);
    return announcement.isLeaving && m_announcements.recordLeaving(incarnation, now);
}

bool upstream_choice::hasUntried(const std::string& service, const std::set<std::string>& tried, const region_limit& homes, instant now)
{
    const auto found = m_byService.find(service);
    const auto isCandidate = [&](const row* upstream) {
        return acceptsRequests(*upstream, now) && isAllowed(*upstream, homes) && !tried.count(upstream->entry.id) && m_cold.nextUse(upstream->entry.id, now) <= now;
    };
    return found != m_byService.end() && std::any_of(found->second.begin(), found->second.end(), isCandidate);
}

double upstream_choice::failingProbability(const std::string& id) const
{
    const auto found = m_rows.find(id);
    return found == m_rows.end() ? 0 : found->second.failingProbability;
}

bool upstream_choice::acceptsNewRequests(const std::string& id, const region_limit& homes, instant now) const
{
    const auto found = m_rows.find(id);
    return found != m_rows.end() && acceptsRequests(found->second, now) && isAllowed(found->second, homes);
}

} // namespace almondmoor
