#include "host_runtime.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <random>

namespace almondmoor {

namespace {

    // A configured seed of 0 requests a random one.
    std::uint64_t chooseSeed(std::uint64_t configured)
    {
        return configured ? configured : std::random_device {}();
    }

    // Taken from the wall clock, in milliseconds, so that later starts of a host get higher numbers.
    std::uint64_t generateIncarnation()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    }

    std::chrono::microseconds timeUntil(instant deadline)
    {
        return std::max(duration::zero(), deadline - presentInstant());
    }

} // namespace

void request_history::add(request_record record)
{
    const std::lock_guard lock(m_mutex);
    m_records.push_back(std::move(record));
    if (m_records.size() > maxRecords)
        m_records.pop_front();
}

std::optional<request_record> request_history::find(const std::string& id) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = std::find_if(m_records.rbegin(), m_records.rend(), [&id](const auto& record) { return record.id == id; });
    return found == m_records.rend() ? std::nullopt : std::optional(*found);
}

host_runtime::host_runtime(const serve_settings& settings, any_platform platform)
    : m_settings(settings)
    , m_seed(chooseSeed(settings.seed))
    , m_incarnation(generateIncarnation())
    , m_platform(std::move(platform))
    , m_claims(m_platform)
    , m_upstreams(settings.connectTimeout)
    , m_configuration(std::make_shared<const configuration>())
    , m_traffic(settings.traffic, settings.hostName, settings.dataCentre, m_seed)
{
}

void host_runtime::publishConfiguration(std::shared_ptr<const configuration> newConfiguration, bool wasFresh, bool isMember, instant now)
{
    {
        const std::lock_guard lock(m_mutex);
        m_traffic.applyConfiguration(newConfiguration, wasFresh, isMember, now);
    }
    const std::lock_guard lock(m_configurationMutex);
    m_configuration = std::move(newConfiguration);
}

bool host_runtime::waitForToken(const std::string& team, instant deadline)
{
    if (m_onTokenShortage)
        m_onTokenShortage();
    std::unique_lock lock(m_mutex);
    bool hasToken = false;
    while (!hasToken) {
        const instant now = presentInstant();
        hasToken = m_traffic.admitWaiting(team, now);
        if (hasToken || now >= deadline)
            break;
        // The wait is short because tokens also accrue without a grant, and accrual wakes no waiter.
        constexpr auto maxWait = std::chrono::milliseconds(10);
        m_tokensGranted.wait_for(lock, std::min<std::chrono::microseconds>(maxWait, timeUntil(deadline)));
    }
    m_traffic.stopWaiting(team);
    return hasToken;
}

host_runtime::slot_result host_runtime::waitForSlot(const std::string& service, const std::string& team, instant deadline)
{
    std::unique_lock lock(m_mutex);
    if (!m_traffic.router().hasUpstream(service))
        return { "", refusal_reason::NoUpstream };
    const queue_ticket ticket = m_nextTicket++;
    if (!m_traffic.enqueue(service, team, ticket, presentInstant()))
        return { "", refusal_reason::QueueFull };
    slot_waiter waiter;
    m_slotWaiters[ticket] = &waiter;
    grantServiceSlots(service);
    while (waiter.upstream.empty() && presentInstant() < deadline)
        waiter.granted.wait_for(lock, timeUntil(deadline));
    m_slotWaiters.erase(ticket);
    if (waiter.upstream.empty()) {
        m_traffic.cancelQueued(service, team, ticket);
        return { "", m_traffic.router().freeSlots(service) == 0 ? refusal_reason::QueueTimeout : refusal_reason::NoUpstream };
    }
    return { waiter.upstream, refusal_reason::QueueTimeout };
}

void host_runtime::grantServiceSlots(const std::string& service)
{
    for (const slot_grant& grant : m_traffic.grantSlots(service, presentInstant())) {
        const auto found = m_slotWaiters.find(grant.ticket);
        if (found == m_slotWaiters.end()) {
            m_traffic.cancelPick(grant.upstream);
            continue;
        }
        found->second->upstream = grant.upstream;
        found->second->granted.notify_one();
    }
}

void host_runtime::releaseSlot(const std::string& service, const std::string& team, duration slotTime)
{
    const std::lock_guard lock(m_mutex);
    m_traffic.releaseSlot(service, team, slotTime);
    grantServiceSlots(service);
}

void host_runtime::grantSlots()
{
    const std::lock_guard lock(m_mutex);
    for (const auto& [name, row] : m_traffic.currentConfiguration()->services())
        grantServiceSlots(name);
}

std::string host_runtime::nextRequestId()
{
    return absl::StrCat(m_settings.hostName, "-", absl::Hex(m_incarnation), "-", m_nextRequestNumber++);
}

bool host_runtime::isReady() const
{
    const auto current = currentConfiguration();
    const auto self = current->hosts().find(m_settings.hostName);
    const bool isDrained = self != current->hosts().end() && self->second.draining;
    return !m_isStopping && !isDrained && m_isFresh && m_isMember && current->shardHomes().size() == shardCount;
}

} // namespace almondmoor
