// Combines allowances, fair queues, the router and retry budgets.

#include "Core/traffic_core.h"

#include <algorithm>

namespace almondmoor {

traffic_core::traffic_core(const traffic_settings& settings, std::string host, std::string dataCentre, std::uint64_t seed)
    : m_host(std::move(host))
    , m_dataCentre(std::move(dataCentre))
    , m_settings(settings)
    , m_configuration(std::make_shared<configuration>())
    , m_holder(settings.allowance)
    , m_router(settings.router, settings.health, m_dataCentre)
    , m_teamBudget(settings.budget)
    , m_serviceBudget(settings.budget)
    , m_quarantine(settings.quarantine)
    , m_random(seed)
{
}

void traffic_core::applyConfiguration(std::shared_ptr<const configuration> newConfiguration, bool wasFresh, bool isMember, instant now)
{
    m_configuration = std::move(newConfiguration);
    m_holder.applyConfiguration(*m_configuration, wasFresh, isMember, now);
    m_router.applyConfiguration(*m_configuration, now);
}

admission traffic_core::admit(const std::string& team, instant now)
{
    m_holder.recordDemand(team, now);
    if (m_waitingForTokens[team] == 0 && m_holder.take(team, now))
        return admission::Admitted;
    m_holder.setWaitingRequests(team, ++m_waitingForTokens[team]);
    return admission::Waiting;
}

bool traffic_core::admitWaiting(const std::string& team, instant now)
{
    return m_holder.take(team, now);
}

void traffic_core::stopWaiting(const std::string& team)
{
    unsigned& waiting = m_waitingForTokens[team];
    waiting -= waiting > 0 ? 1 : 0;
    m_holder.setWaitingRequests(team, waiting);
}

bool traffic_core::enqueue(const std::string& service, const std::string& team, queue_ticket ticket, instant now)
{
    const auto found = m_configuration->teams().find(team);
    const double weight = found == m_configuration->teams().end() ? 1 : found->second.weight;
    return m_queues.try_emplace(service, m_settings.queue).first->second.enqueue(team, weight, ticket, now);
}

bool traffic_core::cancelQueued(const std::string& service, const std::string& team, queue_ticket ticket)
{
    const auto found = m_queues.find(service);
    return found != m_queues.end() && found->second.cancel(team, ticket);
}

std::vector<slot_grant> traffic_core::grantSlots(const std::string& service, instant now)
{
    std::vector<slot_grant> granted;
    const auto found = m_queues.find(service);
    if (found == m_queues.end())
        return granted;
    while (found->second.waiting() > 0) {
        const unsigned freeSlots = m_router.freeSlots(service);
        const auto upstream = m_router.pick(service, {}, now, m_random);
        if (!upstream)
            break;
        const auto ticket = found->second.next(freeSlots, now);
        if (!ticket) {
            m_router.cancelPick(*upstream);
            break;
        }
        granted.push_back(slot_grant { *ticket, *upstream });
    }
    return granted;
}

void traffic_core::releaseSlot(const std::string& service, const std::string& team, duration slotTime)
{
    const auto found = m_queues.find(service);
    if (found != m_queues.end())
        found->second.release(team, slotTime);
}

std::optional<std::string> traffic_core::pick(const std::string& service, const std::set<std::string>& tried, instant now)
{
    return m_router.pick(service, tried, now, m_random);
}

void traffic_core::finishAttempt(const attempt_sample& sample, instant now)
{
    m_router.finish(sample.upstream, sample.result, now);
    m_router.recordSample(m_host, m_dataCentre, sample, now);
    if (sample.result == attempt_result::Crashed)
        m_quarantine.recordCrash(sample.fingerprint, now);
    m_samples.push_back(sample);
}

void traffic_core::recordFirstAttempt(const std::string& team, const std::string& service)
{
    m_teamBudget.recordFirstAttempt(team);
    m_serviceBudget.recordFirstAttempt(service);
}

std::optional<retry_reason> traffic_core::requestRetry(const retry_request& request, instant now)
{
    if (request.mayHaveRun && !request.idempotent)
        return retry_reason::DeniedNotIdempotent;
    if (now >= request.deadline)
        return retry_reason::DeniedByDeadline;
    const bool hasBudget = m_teamBudget.canRetry(request.team) && m_serviceBudget.canRetry(request.service);
    // A quarantined fingerprint gets no further retry, so that at most one retry
    // follows a crash.
    if (!hasBudget || m_quarantine.isQuarantined(request.fingerprint, now))
        return retry_reason::DeniedByBudget;
    m_teamBudget.takeRetry(request.team);
    m_serviceBudget.takeRetry(request.service);
    return std::nullopt;
}

void traffic_core::recordRemoteSample(const std::string& host, const std::string& dataCentre, const attempt_sample& sample, instant now)
{
    m_router.recordSample(host, dataCentre, sample, now);
    if (sample.result == attempt_result::Crashed)
        m_quarantine.recordCrash(sample.fingerprint, now);
}

std::vector<health_transition> traffic_core::tick(instant now)
{
    m_quarantine.tick(now);
    return m_router.tick(now);
}

std::vector<attempt_sample> traffic_core::takeSamples()
{
    std::vector<attempt_sample> merged;
    for (const attempt_sample& sample : m_samples) {
        const auto same = std::find_if(merged.begin(), merged.end(), [&sample](const attempt_sample& other) {
            return other.upstream == sample.upstream && other.result == sample.result && other.bucket == sample.bucket
                && other.fingerprint == sample.fingerprint;
        });
        if (same == merged.end())
            merged.push_back(sample);
        else
            same->count += sample.count;
    }
    m_samples.clear();
    return merged;
}

std::size_t traffic_core::queueLength(const std::string& service) const
{
    const auto found = m_queues.find(service);
    return found == m_queues.end() ? 0 : found->second.waiting();
}

} // namespace almondmoor
