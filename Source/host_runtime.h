// What the threads of one host share.
//
// Control state belongs to the control thread and is published as one immutable
// snapshot. Traffic threads share the traffic core under one mutex, which they
// hold for microseconds.

#pragma once

#include "Core/traffic_core.h"
#include "Platform/any_platform.h"
#include "Platform/claim_table.h"
#include "metrics.h"
#include "settings.h"
#include "upstream_pool.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace almondmoor {

// What an operator may ask of one past request.
struct request_record {
    std::string id;
    std::string team;
    std::string route;
    std::string outcome;
    std::string reason;
    std::string attempts;
    double totalMs = 0;
};

// The latest requests of this host. All members may be called from any thread.
class request_history {
public:
    void add(request_record);
    std::optional<request_record> find(const std::string& id) const;

private:
    static constexpr std::size_t length = 4096;

    mutable std::mutex m_mutex;
    std::deque<request_record> m_records;
};

// A request that waits for a slot.
struct slot_waiter {
    std::condition_variable granted;
    // Empty until a slot is granted.
    std::string upstream;
};

class host_runtime {
public:
    host_runtime(const serve_settings&, any_platform);

    const serve_settings& settings() const { return m_settings; }

    // Returns the configuration that traffic goes by.
    std::shared_ptr<const configuration> held() const
    {
        const std::lock_guard lock(m_heldMutex);
        return m_held;
    }
    void publish(std::shared_ptr<const configuration>, bool wasFresh, bool isMember, instant now);

    // Runs a function on the traffic core under its mutex.
    template <typename Function>
    auto withTraffic(Function&& function)
    {
        const std::lock_guard lock(m_mutex);
        return function(m_traffic);
    }

    // Waits until a token of the team is here or the deadline has passed.
    bool waitForToken(const std::string& team, instant deadline);

    // Wakes those who wait for tokens, after grants.
    void wakeTokenWaiters() { m_tokens.notify_all(); }

    // Waits for a slot of a service. Returns the upstream chosen for the first
    // attempt, or the reason for refusing.
    struct slot_result {
        std::string upstream;
        refusal_reason reason = refusal_reason::QueueTimeout;
        bool isGranted() const { return !upstream.empty(); }
    };
    slot_result waitForSlot(const std::string& service, const std::string& team, instant deadline);

    // Gives back a slot and lets the next waiting request have it.
    void releaseSlot(const std::string& service, const std::string& team, duration slotTime);

    // Grants slots that became free by other ways than a release.
    void grantSlots();

    // Set by the control thread; called when tokens are short.
    void setShortageHandler(std::function<void()> handler) { m_onShortage = std::move(handler); }

    std::string nextRequestId();

    bool isStopping() const { return m_isStopping; }
    void beginStop() { m_isStopping = true; }

    // Returns whether guests may come: the configuration is fresh, the host
    // is in the roster and not drained, every team has a home for its allowance,
    // and no stop has begun.
    bool isReady() const;
    void setFresh(bool isFresh) { m_isFresh = isFresh; }
    void setMember(bool isMember) { m_isMember = isMember; }

    metrics& counters() { return m_metrics; }
    upstream_pool& upstreams() { return m_upstreams; }
    request_history& history() { return m_history; }
    any_platform& platform() { return m_platform; }
    claim_table<any_platform>& claims() { return m_claims; }
    std::uint64_t incarnation() const { return m_incarnation; }
    std::uint64_t seed() const { return m_seed; }

private:
    // Grants free slots of one service. The mutex is held.
    void grantSlotsOf(const std::string& service);

    serve_settings m_settings;
    std::uint64_t m_seed;
    std::uint64_t m_incarnation;
    any_platform m_platform;
    claim_table<any_platform> m_claims;
    metrics m_metrics;
    upstream_pool m_upstreams;
    request_history m_history;
    // A mutex and not an atomic pointer: the library's atomic takes a lock too,
    // one that the thread sanitizer cannot see.
    mutable std::mutex m_heldMutex;
    std::shared_ptr<const configuration> m_held;
    std::atomic<bool> m_isStopping { false };
    std::atomic<bool> m_isFresh { false };
    std::atomic<bool> m_isMember { false };
    std::atomic<std::uint64_t> m_nextRequest { 1 };
    std::function<void()> m_onShortage;

    std::mutex m_mutex;
    std::condition_variable m_tokens;
    traffic_core m_traffic;
    std::map<queue_ticket, slot_waiter*> m_waiters;
    queue_ticket m_nextTicket = 1;
};

} // namespace almondmoor
