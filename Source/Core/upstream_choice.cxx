#include "Core/upstream_choice.h"

#include "Core/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace almondmoor {

namespace {

    // Weight of one answer in the average latency of a service, once there are many.
    constexpr double serviceLatencyWeight = 0.02;
    // Samples for which the latency expected of any service counts.
    constexpr unsigned expectedLatencySamples = 5;
    // Probability from which an upstream looks failing.
    constexpr double looksFailing = 0.5;
    // No belief is certain, so that one lost request can change it.
    constexpr double leastProbability = 0.01;
    constexpr double greatestProbability = 0.995;
    // Weight of one failure in the average time that failures take.
    constexpr double failureTimeWeight = 0.5;
    // Doublings of a pause, so that it does not overflow.
    constexpr unsigned mostDoublings = 8;

    double averaged(double average, double sample, double weight)
    {
        return average == 0 ? sample : average + weight * (sample - average);
    }

} // namespace

bool isSameRegion(const region_map& regions, const std::string& dataCentre, const std::string& other)
{
    const auto first = regions.find(dataCentre);
    const auto second = regions.find(other);
    return first != regions.end() && second != regions.end() && first->second == second->second;
}

distance_tier upstream_choice::tierOf(const std::string& dataCentre) const
{
    if (dataCentre == m_dataCentre)
        return distance_tier::SameDataCentre;
    return isSameRegion(m_regions, m_dataCentre, dataCentre) ? distance_tier::SameRegion : distance_tier::OtherRegion;
}

void upstream_choice::adopt(const upstream_directory& directory, instant now)
{
    std::erase_if(m_rows, [&directory](const auto& it) { return !directory.count(it.first); });
    m_byService.clear();
    for (const auto& [id, entry] : directory) {
        const auto [place, isNew] = m_rows.try_emplace(id);
        row& it = place->second;
        if (isNew) {
            it.preference = static_cast<double>(stableHash(id, m_seed)) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
            it.failing = commonProbability();
            it.failingAt = now;
            it.slownessAt = now;
            it.usedAt = now - m_settings.longestExploration;
            it.startedAt = now;
        }
        it.entry = entry;
        it.tier = tierOf(entry.dataCentre);
        m_byService[entry.service].push_back(&it);
    }
    countPeers();
}

double upstream_choice::serviceLatency(const std::string& service) const
{
    const auto found = m_serviceLatency.find(service);
    return found == m_serviceLatency.end() ? toSeconds(m_settings.firstLatency) : found->second.seconds;
}

void upstream_choice::noteServiceLatency(const std::string& service, duration latency)
{
    const latency_average first { toSeconds(m_settings.firstLatency), expectedLatencySamples };
    latency_average& it = m_serviceLatency.try_emplace(service, first).first->second;
    ++it.samples;
    const double weight = std::max(serviceLatencyWeight, 1.0 / it.samples);
    it.seconds += weight * (toSeconds(latency) - it.seconds);
}

double upstream_choice::waitAt(const row& it, double latency) const
{
    const double inFlight = it.ownInFlight + it.peersInFlight;
    const double ahead = inFlight + 1 - it.entry.slots;
    return ahead <= 0 ? 0 : ahead / it.entry.slots * latency;
}

double upstream_choice::costOf(const row& it, const choice_question& question, double latency, instant now) const
{
    const double target = toSeconds(question.targetLatency);
    const double inFlight = it.ownInFlight + it.peersInFlight;
    const bool isCold = now < it.entry.coldUntil;
    const double work = latency * (isCold ? m_settings.coldFactor : 1) * (1 + m_settings.crowdingCost * inFlight / it.entry.slots);
    double cost = work + waitAt(it, latency) + m_settings.preferenceCost * it.preference * latency;
    if (it.tier == distance_tier::SameRegion)
        cost += m_settings.sameRegionCost * target;
    else if (it.tier == distance_tier::OtherRegion)
        cost += m_settings.otherRegionCost * target;
    if (now - it.shedAt < m_settings.shedMemory)
        cost += toSeconds(m_settings.shedCost);
    cost += it.failing * (question.mayFail ? it.failureTime + toSeconds(m_settings.repeatCost) : m_settings.failureCost * target);
    if (it.tier == distance_tier::SameDataCentre) {
        const duration unused = std::min(now - it.usedAt, m_settings.longestExploration);
        cost -= toSeconds(unused) * toSeconds(m_settings.explorationPerSecond);
    }
    return cost;
}

choice_result upstream_choice::choose(const choice_question& question, instant now, std::mt19937_64& random)
{
    forgetSilentPeers(now);
    m_target[question.service] = question.targetLatency;
    choice_result result;
    const auto found = m_byService.find(question.service);
    if (found == m_byService.end())
        return result;
    const double usual = serviceLatency(question.service);
    std::uniform_real_distribution<double> jitter(0, m_settings.jitter * usual);
    // A request is used for one trial at most; where it goes next is the best place.
    const bool mayTry = !question.tried || question.tried->empty();
    row* due = nullptr;
    duration longestDue = duration::zero();
    row* best = nullptr;
    double bestCost = std::numeric_limits<double>::infinity();
    double shortestWait = std::numeric_limits<double>::infinity();
    for (row* candidate : found->second) {
        row& it = *candidate;
        if (it.entry.isLeaving || (question.tried && question.tried->count(it.entry.id)))
            continue;
        age(it, now);
        const double latency = it.slowness * usual;
        const double wait = waitAt(it, latency);
        shortestWait = std::min(shortestWait, wait);
        const bool isFull = it.ownInFlight + it.peersInFlight >= it.entry.slots * (1 + m_settings.longestQueuePerSlot);
        if (isFull || wait >= toSeconds(question.timeLeft))
            continue;
        double cost = costOf(it, question, latency, now) + jitter(random);
        // An upstream beyond a broken path is the last resort.
        if (now < it.avoidUntil)
            cost += m_settings.failureCost * toSeconds(question.targetLatency);
        if (cost < bestCost) {
            best = &it;
            bestCost = cost;
        }
        const duration dueFor = mayTry ? trialDueFor(it, question, now) : duration(-1);
        if (dueFor >= longestDue) {
            due = &it;
            longestDue = dueFor;
        }
    }
    if (due)
        return begin(*due, true, now);
    if (!best) {
        const bool isAnyKnown = std::isfinite(shortestWait);
        result.refusal = isAnyKnown ? choice_refusal::NoRoom : choice_refusal::NoUpstream;
        result.roomIn = isAnyKnown ? fromSeconds(shortestWait) : duration::zero();
        return result;
    }
    return begin(*best, false, now);
}

choice_result upstream_choice::begin(row& it, bool isTrial, instant now) const
{
    choice_result result;
    result.inFlight = it.ownInFlight + it.peersInFlight;
    result.isBusy = result.inFlight >= m_settings.busyPart * it.entry.slots;
    result.isTrial = isTrial;
    result.failing = it.failing;
    result.upstream = &it.entry;
    result.tier = it.tier;
    ++it.ownInFlight;
    it.usedAt = now;
    it.isStartUntold = true;
    noteStart(it, now);
    return result;
}

duration upstream_choice::trialDueFor(const row& it, const choice_question& question, instant now) const
{
    constexpr duration notDue { -1 };
    const bool isNear = it.tier == distance_tier::SameDataCentre;
    const bool isWanted = it.startedAt < it.wantedAt && now - it.wantedAt < m_settings.wantedMemory;
    const bool hasFreeSlot = it.ownInFlight + it.peersInFlight < it.entry.slots;
    if (!(isNear || isWanted) || !hasFreeSlot || now < it.avoidUntil)
        return notDue;
    const duration dueFor = isNear ? now - it.startedAt - trialPauseOf(it, question.mayFail) : now - it.wantedAt;
    if (dueFor < duration::zero())
        return notDue;
    return dueFor - fromSeconds(turnAt(it) * toSeconds(m_settings.turnSpan));
}

duration upstream_choice::trialPauseOf(const row& it, bool mayFail) const
{
    const duration pause = mayFail ? m_settings.repeatableTrialPause : m_settings.otherTrialPause;
    return std::min(pause * (1 << std::min(it.attemptsInVain, mostDoublings)), m_settings.longestTrialPause);
}

void upstream_choice::want(const std::string& id, instant now)
{
    const auto found = m_rows.find(id);
    if (found != m_rows.end())
        found->second.wantedAt = now;
}

double upstream_choice::turnAt(const row& it) const
{
    const std::uint64_t own = stableHash(it.entry.id, m_seed);
    const auto isBefore = [&](const auto& peer) { return stableHash(it.entry.id, peer.second.seed) < own; };
    const auto before = std::count_if(m_peers.begin(), m_peers.end(), isBefore);
    return static_cast<double>(before) / static_cast<double>(m_peers.size() + 1);
}

double upstream_choice::commonProbability() const
{
    const failure_model& model = m_settings.failures;
    return model.onsetRate / (model.onsetRate + model.endRate);
}

void upstream_choice::age(row& it, instant now) const
{
    if (now <= it.failingAt)
        return;
    const failure_model& model = m_settings.failures;
    const double common = commonProbability();
    const double kept = std::exp(-toSeconds(now - it.failingAt) * (model.onsetRate + model.endRate));
    it.failing = common + (it.failing - common) * kept;
    it.failingAt = now;
    const double latencyKept = std::exp(-toSeconds(now - it.slownessAt) / toSeconds(m_settings.latencyMemory));
    it.slowness = 1 + (it.slowness - 1) * latencyKept;
    it.slownessAt = now;
}

void upstream_choice::weigh(row& it, double whileFailing, double whileSound) const
{
    const double failing = it.failing * whileFailing;
    const double sound = (1 - it.failing) * whileSound;
    it.failing = std::clamp(failing / (failing + sound), leastProbability, greatestProbability);
}

void upstream_choice::note(row& it, attempt_result result, duration latency, instant now) const
{
    age(it, now);
    const failure_model& model = m_settings.failures;
    switch (result) {
    case attempt_result::Good: {
        weigh(it, model.goodWhileFailing, model.goodWhileSound);
        const double relative = toSeconds(latency) / serviceLatency(it.entry.service);
        it.slowness = averaged(it.slowness, relative, m_settings.latencyWeight);
        it.attemptsInVain = relative >= m_settings.slowAnswerFactor ? it.attemptsInVain + 1 : 0;
        break;
    }
    case attempt_result::Failed:
        weigh(it, model.errorWhileFailing, model.errorWhileSound);
        ++it.attemptsInVain;
        it.failureTime = averaged(it.failureTime, toSeconds(latency), failureTimeWeight);
        break;
    case attempt_result::Crashed:
        weigh(it, model.lostWhileFailing, model.lostWhileSound);
        ++it.attemptsInVain;
        it.failureTime = averaged(it.failureTime, toSeconds(latency), failureTimeWeight);
        break;
    case attempt_result::Shed:
        it.shedAt = now;
        break;
    case attempt_result::Unreachable:
        break;
    }
}

bool upstream_choice::isUnexpected(const row& it, attempt_result result, duration latency) const
{
    if (result != attempt_result::Good || it.failing >= m_settings.suspectProbability)
        return true;
    const double relative = toSeconds(latency) / serviceLatency(it.entry.service);
    return relative >= m_settings.slowAnswerFactor || it.slowness >= m_settings.slowUpstreamFactor;
}

finish_audience upstream_choice::finish(const std::string& id, attempt_result result, duration latency, instant now)
{
    const auto found = m_rows.find(id);
    if (found == m_rows.end())
        return finish_audience::Nobody;
    row& it = found->second;
    release(id);
    age(it, now);
    const double before = it.failing;
    const bool isNews = isUnexpected(it, result, latency);
    note(it, result, latency, now);
    if (result == attempt_result::Good)
        noteServiceLatency(it.entry.service, latency);
    if (result == attempt_result::Unreachable) {
        // Whether this host can reach an upstream says nothing to the others.
        const unsigned doublings = std::min(it.failedConnects++, mostDoublings);
        it.avoidUntil = now + std::min(m_settings.firstAvoidance * (1 << doublings), m_settings.longestAvoidance);
        return finish_audience::Nobody;
    }
    it.failedConnects = 0;
    if (before < looksFailing && it.failing >= looksFailing)
        return finish_audience::Fleet;
    return isNews ? finish_audience::DataCentre : finish_audience::Nobody;
}

void upstream_choice::release(const std::string& id)
{
    const auto found = m_rows.find(id);
    if (found != m_rows.end() && found->second.ownInFlight > 0)
        --found->second.ownInFlight;
}

void upstream_choice::noteRemote(const std::string& id, attempt_result result, duration latency, instant now)
{
    const auto found = m_rows.find(id);
    if (found != m_rows.end())
        note(found->second, result, latency, now);
}

void upstream_choice::setInFlight(const std::string& host, const std::map<std::string, unsigned>& counts, instant now)
{
    peer_row& peer = m_peers.try_emplace(host, peer_row { stableHash(host), {}, now }).first->second;
    peer.heardAt = now;
    if (peer.counts == counts)
        return;
    countPeer(peer, -1);
    peer.counts = counts;
    countPeer(peer, 1);
}

void upstream_choice::forgetSilentPeers(instant now)
{
    const auto erased = std::erase_if(m_peers, [&](const auto& it) { return now - it.second.heardAt > m_settings.sightLimit; });
    if (erased > 0)
        countPeers();
}

void upstream_choice::countPeer(const peer_row& peer, int sign)
{
    for (const auto& [id, count] : peer.counts) {
        const auto found = m_rows.find(id);
        if (found != m_rows.end())
            found->second.peersInFlight += static_cast<unsigned>(sign) * count;
    }
}

void upstream_choice::countPeers()
{
    for (auto& [id, it] : m_rows)
        it.peersInFlight = 0;
    for (const auto& [host, peer] : m_peers)
        countPeer(peer, 1);
}

std::map<std::string, unsigned> upstream_choice::ownInFlight() const
{
    std::map<std::string, unsigned> counts;
    for (const auto& [id, it] : m_rows) {
        if (it.ownInFlight > 0)
            counts[id] = it.ownInFlight;
    }
    return counts;
}

std::vector<std::string> upstream_choice::takeStarted()
{
    std::vector<std::string> started;
    for (auto& [id, it] : m_rows) {
        if (std::exchange(it.isStartUntold, false))
            started.push_back(id);
    }
    return started;
}

void upstream_choice::noteStart(row& it, instant now) const
{
    it.startedAt = now;
}

void upstream_choice::noteRemoteStart(const std::string& id, instant now)
{
    const auto found = m_rows.find(id);
    if (found != m_rows.end())
        noteStart(found->second, now);
}

double upstream_choice::leastCost(const choice_question& question, instant now)
{
    const double usual = serviceLatency(question.service);
    double least = std::numeric_limits<double>::infinity();
    for (row* it : m_byService[question.service]) {
        age(*it, now);
        if (!it->entry.isLeaving)
            least = std::min(least, costOf(*it, question, it->slowness * usual, now));
    }
    return least;
}

std::vector<idle_upstream> upstream_choice::takeIdle(instant now)
{
    std::vector<idle_upstream> idle;
    for (auto& [id, it] : m_rows) {
        const duration limit = trialPauseOf(it, false) + m_settings.turnSpan + m_settings.idleMargin;
        const bool isIdle = it.tier == distance_tier::SameDataCentre && !it.entry.isLeaving && now - std::max(it.startedAt, it.idleToldAt) >= limit;
        // One host of the data centre tells it.
        if (!isIdle || turnAt(it) > 0)
            continue;
        it.idleToldAt = now;
        choice_question question { it.entry.service, true, nullptr, duration::max(), m_target[it.entry.service] };
        const double latency = it.slowness * serviceLatency(it.entry.service);
        const double repeatableLeast = leastCost(question, now);
        const double repeatableExcess = costOf(it, question, latency, now) - repeatableLeast;
        question.mayFail = false;
        const double otherLeast = leastCost(question, now);
        const double otherExcess = costOf(it, question, latency, now) - otherLeast;
        idle.push_back({ id, it.entry.service, now - it.startedAt, it.failing, it.slowness, it.failureTime, it.ownInFlight + it.peersInFlight, now < it.avoidUntil, repeatableExcess, otherExcess });
    }
    return idle;
}

bool upstream_choice::hasOther(const std::string& service, const std::set<std::string>& tried) const
{
    const auto found = m_byService.find(service);
    return found != m_byService.end()
        && std::any_of(found->second.begin(), found->second.end(), [&tried](const row* it) { return !it->entry.isLeaving && !tried.count(it->entry.id); });
}

double upstream_choice::failingProbability(const std::string& id) const
{
    const auto found = m_rows.find(id);
    return found == m_rows.end() ? 0 : found->second.failing;
}

bool upstream_choice::takesNewWork(const std::string& id) const
{
    const auto found = m_rows.find(id);
    return found != m_rows.end() && !found->second.entry.isLeaving;
}

} // namespace almondmoor
