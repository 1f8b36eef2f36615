#include "host_runtime.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <random>

namespace almondmoor {

namespace {

    std::uint64_t drawSeed(std::uint64_t configured)
    {
        return configured ? configured : std::random_device {}();
    }

    // Later starts of a host get greater numbers, by the wall clock.
    std::uint64_t drawIncarnation()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    }

    std::chrono::microseconds until(instant deadline)
    {
        return std::max(duration::zero(), deadline - presentInstant());
    }

} // namespace

void request_history::add(request_record record)
{
    const std::lock_guard lock(m_mutex);
    m_records.push_back(std::move(record));
    if (m_records.size() > length)
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
    , m_seed(drawSeed(settings.seed))
    , m_incarnation(drawIncarnation())
    , m_platform(std::move(platform))
    , m_claims(m_platform)
    , m_upstreams(settings.connectTimeout)
    , m_held(std::make_shared<const configuration>())
    , m_traffic(settings.traffic, settings.hostName, settings.dataCentre, m_seed)
{
}

void host_runtime::publish(std::shared_ptr<const configuration> held, bool wasFresh, bool isMember, instant now)
{
    {
        const std::lock_guard lock(m_mutex);
        m_traffic.applyConfiguration(held, wasFresh, isMember, now);
    }
    const std::lock_guard lock(m_heldMutex);
    m_held = std::move(held);
}

bool host_runtime::waitForToken(const std::string& team, instant deadline)
{
    if (m_onShortage)
        m_onShortage();
    std::unique_lock lock(m_mutex);
    bool hasToken = false;
    while (!hasToken) {
        const instant now = presentInstant();
        hasToken = m_traffic.admitWaiting(team, now);
        if (hasToken || now >= deadline)
            break;
        // Tokens also accrue without a grant, hence the short waits.
        constexpr auto longestWait = std::chrono::milliseconds(10);
        m_tokens.wait_for(lock, std::min<std::chrono::microseconds>(longestWait, until(deadline)));
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
    m_waiters[ticket] = &waiter;
    grantSlotsOf(service);
    while (waiter.upstream.empty() && presentInstant() < deadline)
        waiter.granted.wait_for(lock, until(deadline));
    m_waiters.erase(ticket);
    if (waiter.upstream.empty()) {
        m_traffic.cancelQueued(service, team, ticket);
        return { "", m_traffic.router().freeSlots(service) == 0 ? refusal_reason::QueueTimeout : refusal_reason::NoUpstream };
    }
    return { waiter.upstream, refusal_reason::QueueTimeout };
}

void host_runtime::grantSlotsOf(const std::string& service)
{
    for (const slot_grant& grant : m_traffic.grantSlots(service, presentInstant())) {
        const auto found = m_waiters.find(grant.ticket);
        if (found == m_waiters.end()) {
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
    grantSlotsOf(service);
}

void host_runtime::grantSlots()
{
    const std::lock_guard lock(m_mutex);
    for (const auto& [name, row] : m_traffic.currentConfiguration()->services())
        grantSlotsOf(name);
}

std::string host_runtime::nextRequestId()
{
    return absl::StrCat(m_settings.hostName, "-", absl::Hex(m_incarnation), "-", m_nextRequest++);
}

bool host_runtime::isReady() const
{
    const auto present = held();
    const auto self = present->hosts().find(m_settings.hostName);
    const bool isDrained = self != present->hosts().end() && self->second.draining;
    return !m_isStopping && !isDrained && m_isFresh && m_isMember && present->shardHomes().size() == shardCount;
}

} // namespace almondmoor
