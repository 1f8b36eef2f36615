#include "Core/priority_admission.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace almondmoor {

namespace {

    // Most requests that a guarantee saves up for. More would let a burst through at once.
    constexpr double maxGuarantee = 2;
    // Number of responses without delay that the average wait in other data centres begins
    // with, so that no single response decides.
    constexpr double initialResponsesElsewhere = 4;
    // Expected wait at an upstream that sheds, as a multiple of the usual latency.
    constexpr int fullQueueRounds = 3;

    // A set of priorities with the shortest target latency of each.
    using target_map = std::map<unsigned, duration>;

    void addTarget(target_map& targets, unsigned priority, duration target)
    {
        duration& shortest = targets.try_emplace(priority, target).first->second;
        if (target > duration::zero() && (shortest == duration::zero() || target < shortest))
            shortest = target;
    }

    std::map<std::string, target_map> targetsByService(const serving_config& config)
    {
        std::set<unsigned> teamPriorities;
        for (const auto& [name, team] : config.teams) {
            if (team.priority)
                teamPriorities.insert(*team.priority);
        }
        std::map<std::string, target_map> byService;
        for (const auto& [host, routes] : config.routesByHost) {
            for (const route_config& route : routes) {
                for (const split_part& part : route.parts) {
                    target_map& targets = byService[part.service];
                    addTarget(targets, route.priority, route.targetLatency);
                    for (const unsigned priority : teamPriorities)
                        addTarget(targets, priority, route.targetLatency);
                }
            }
        }
        return byService;
    }

} // namespace

double priority_admission::decaying_sum::valueAt(instant now, duration window) const
{
    return value == 0 || now <= at ? value : value * std::exp(-toSeconds(now - at) / toSeconds(window));
}

void priority_admission::decaying_sum::add(double amount, instant now, duration window)
{
    value = valueAt(now, window) + amount;
    at = std::max(at, now);
}

void priority_admission::apply(const serving_config& config)
{
    const auto byService = targetsByService(config);
    std::erase_if(m_services, [&](const auto& it) { return !byService.count(it.first); });
    for (const auto& [service, targets] : byService) {
        service_row& row = m_services[service];
        std::erase_if(row.priorities, [&used = targets](const auto& it) { return !used.count(it.first); });
        for (const auto& [priority, target] : targets)
            row.priorities[priority].targetLatency = target;
    }
}

void priority_admission::recordArrival(const std::string& service, unsigned priority, instant now)
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || found->second.priorities.size() < 2)
        return;
    service_row& row = found->second;
    row.arrived.add(1, now, m_settings.averageWindow);
    const auto place = row.priorities.find(priority);
    if (place == row.priorities.end())
        return;
    const double sentShare = std::min(1.0, row.sent.valueAt(now, m_settings.averageWindow) / row.arrived.value);
    place->second.lastArrivalAt = now;
    place->second.guarantee = std::min(maxGuarantee, place->second.guarantee + m_settings.guaranteedFraction * sentShare);
}

bool priority_admission::isLimited(const std::string& service, unsigned priority, instant now) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return false;
    const auto& priorities = found->second.priorities;
    const auto own = priorities.find(priority);
    return own != priorities.end() && std::any_of(priorities.begin(), own, [&](const auto& it) { return getsLessRoom(it.second, own->second, now); });
}

std::optional<priority_admission::served_share> priority_admission::shareInTarget(const priority_row& row, instant now) const
{
    const double ended = row.ended.valueAt(now, m_settings.outcomeWindow);
    if (ended < m_settings.minOutcomes)
        return std::nullopt;
    const double share = row.inTarget.valueAt(now, m_settings.outcomeWindow) / ended;
    return served_share { share, share * (1 - share) / ended };
}

bool priority_admission::getsLessRoom(const priority_row& moreUrgent, const priority_row& lessUrgent, instant now) const
{
    if (now - moreUrgent.lastArrivalAt > m_settings.demandWindow)
        return false;
    const auto urgent = shareInTarget(moreUrgent, now);
    const auto other = shareInTarget(lessUrgent, now);
    if (!urgent || !other)
        return false;
    const double deviation = std::sqrt(urgent->variance + other->variance);
    return urgent->share + m_settings.minLag + deviation < other->share;
}

void priority_admission::recordOutcome(const std::string& service, unsigned priority, bool isWithinTarget, instant now)
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || found->second.priorities.size() < 2)
        return;
    const auto place = found->second.priorities.find(priority);
    if (place == found->second.priorities.end())
        return;
    place->second.ended.add(1, now, m_settings.outcomeWindow);
    place->second.inTarget.add(isWithinTarget ? 1 : 0, now, m_settings.outcomeWindow);
}

std::optional<duration> priority_admission::limitOf(const service_row& row, unsigned priority, bool isRetry, duration usualLatency, instant now) const
{
    const auto own = row.priorities.find(priority);
    if (own == row.priorities.end())
        return std::nullopt;
    std::optional<duration> limit;
    double fraction = isRetry ? m_settings.retryWaitFraction : m_settings.waitFraction;
    // From the next more urgent priority to the most urgent one.
    for (auto it = std::make_reverse_iterator(own); it != row.priorities.rend(); ++it) {
        if (!getsLessRoom(it->second, own->second, now) || it->second.targetLatency == duration::zero())
            continue;
        const duration spareTime = std::max(duration::zero(), it->second.targetLatency - usualLatency);
        const duration allowed = fromSeconds(toSeconds(spareTime) * fraction);
        limit = limit ? std::min(*limit, allowed) : allowed;
        fraction *= m_settings.waitFraction;
    }
    return limit;
}

duration priority_admission::waitElsewhere(const service_row& row, instant now) const
{
    const double responses = row.responsesElsewhere.valueAt(now, m_settings.elsewhereWindow);
    const double delays = row.delaysElsewhere.valueAt(now, m_settings.elsewhereWindow);
    return fromSeconds(std::max(0.0, delays / (responses + initialResponsesElsewhere)));
}

admission_verdict priority_admission::decide(const std::string& service, unsigned priority, bool isRetry, const service_room& room, instant now) const
{
    admission_verdict verdict;
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return verdict;
    const service_row& row = found->second;
    const std::optional<duration> limit = limitOf(row, priority, isRetry, room.usualLatency, now);
    if (!limit)
        return verdict;
    verdict.limit = *limit;
    verdict.reportAge = room.reportAge;
    const duration elsewhere = waitElsewhere(row, now);
    verdict.wait = room.wait.value_or(elsewhere);
    if (room.reportingHosts * 2 < room.knownHosts) {
        verdict.decision = admission_decision::Unknown;
        return verdict;
    }
    const bool hasRoomElsewhere = room.hasUpstreamElsewhere && elsewhere <= *limit;
    if (verdict.wait <= *limit || hasRoomElsewhere) {
        verdict.decision = admission_decision::WithinLimit;
        verdict.maxWait = limit;
        return verdict;
    }
    const auto place = row.priorities.find(priority);
    if (place != row.priorities.end() && place->second.guarantee >= 1) {
        verdict.decision = admission_decision::Guaranteed;
        return verdict;
    }
    verdict.decision = admission_decision::Refused;
    verdict.timeUntilRoom = verdict.wait - *limit;
    return verdict;
}

void priority_admission::recordSent(const std::string& service, unsigned priority, instant now)
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || found->second.priorities.size() < 2)
        return;
    service_row& row = found->second;
    row.sent.add(1, now, m_settings.averageWindow);
    const auto place = row.priorities.find(priority);
    if (place != row.priorities.end())
        place->second.guarantee = std::max(0.0, place->second.guarantee - 1);
}

void priority_admission::recordElsewhere(const std::string& service, attempt_result result, duration latency, duration usualLatency, instant now)
{
    const auto found = m_services.find(service);
    const bool isInformative = result == attempt_result::Good || result == attempt_result::Shed;
    if (!isInformative || found == m_services.end() || found->second.priorities.size() < 2)
        return;
    service_row& row = found->second;
    const duration delay = result == attempt_result::Shed ? usualLatency * fullQueueRounds : latency - usualLatency;
    row.responsesElsewhere.add(1, now, m_settings.elsewhereWindow);
    row.delaysElsewhere.add(toSeconds(delay), now, m_settings.elsewhereWindow);
}

} // namespace almondmoor
