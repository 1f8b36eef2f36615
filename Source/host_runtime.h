// State that is shared by the threads of one host, for the command 'serve'. For the command 'proxy', proxy_runtime
// holds this state.
//
// The control thread owns the configuration and publishes it as an immutable snapshot. The threads that serve requests
// share the traffic core under one mutex, which they hold for microseconds.

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

// The record of one finished request, which operators can look up by its id.
struct request_record {
    std::string id;
    std::string team;
    std::string route;
    std::string outcome;
    std::string reason;
    std::string attempts;
    double totalMs = 0;
};

// The most recent requests of this host, up to maxRecords. All member functions may be called from any thread.
class request_history {
public:
    void add(request_record);
    std::optional<request_record> find(const std::string& id) const;

private:
    static constexpr std::size_t maxRecords = 4096;

    mutable std::mutex m_mutex;
    std::deque<request_record> m_records;
};

// A request that waits for a slot of a service.
struct slot_waiter {
    std::condition_variable granted;
    // The upstream chosen for the first attempt; empty until a slot is granted.
    std::string upstream;
};

class host_runtime {
public:
    host_runtime(const serve_settings&, any_platform);

    const serve_settings& settings() const { return m_settings; }

    // Returns the configuration that was published last.
    std::shared_ptr<const configuration> currentConfiguration() const
    {
        const std::lock_guard lock(m_configurationMutex);
        return m_configuration;
    }
    void publishConfiguration(std::shared_ptr<const configuration>, bool wasFresh, bool isMember, instant now);

    // Runs a function on the traffic core under its mutex.
    template <typename Function>
    auto withTraffic(Function&& function)
    {
        const std::lock_guard lock(m_mutex);
        return function(m_traffic);
    }

    // Waits until the team has a token on this host, or until the deadline. Returns whether a token was taken.
    bool waitForToken(const std::string& team, instant deadline);

    // Wakes the requests that wait for tokens, after a grant.
    void notifyTokenWaiters() { m_tokensGranted.notify_all(); }

    // Result of waitForSlot(): the upstream chosen for the first attempt, or the reason for the refusal.
    struct slot_result {
        std::string upstream;
        refusal_reason reason = refusal_reason::QueueTimeout;
        bool isGranted() const { return !upstream.empty(); }
    };
    // Waits until a slot of the service is granted, or until the deadline.
    slot_result waitForSlot(const std::string& service, const std::string& team, instant deadline);

    // Releases a slot and grants it to the next waiting request. slotTime is the time for which the slot was in use.
    void releaseSlot(const std::string& service, const std::string& team, duration slotTime);

    // Grants slots that became free other than by releaseSlot(), such as after a change of configuration or health.
    void grantSlots();

    // Sets the function that is called when a request starts to wait for a token. The control loop sets it before
    // requests are served.
    void setTokenShortageHandler(std::function<void()> handler) { m_onTokenShortage = std::move(handler); }

    std::string nextRequestId();

    bool isStopping() const { return m_isStopping; }
    void beginStop() { m_isStopping = true; }

    // Returns whether this host should receive client connections: its configuration is fresh, it is a member and not
    // drained, every shard of the allowances has a home, and no stop has begun.
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
    // Grants free slots of one service. Requires that m_mutex is locked.
    void grantServiceSlots(const std::string& service);

    serve_settings m_settings;
    std::uint64_t m_seed;
    std::uint64_t m_incarnation;
    any_platform m_platform;
    claim_table<any_platform> m_claims;
    metrics m_metrics;
    upstream_pool m_upstreams;
    request_history m_history;
    // A mutex rather than std::atomic<std::shared_ptr>: the library's implementation also locks, in a way that the
    // thread sanitizer does not recognise.
    mutable std::mutex m_configurationMutex;
    std::shared_ptr<const configuration> m_configuration;
    std::atomic<bool> m_isStopping { false };
    std::atomic<bool> m_isFresh { false };
    std::atomic<bool> m_isMember { false };
    std::atomic<std::uint64_t> m_nextRequestNumber { 1 };
    std::function<void()> m_onTokenShortage;

    std::mutex m_mutex;
    std::condition_variable m_tokensGranted;
    traffic_core m_traffic;
    std::map<queue_ticket, slot_waiter*> m_slotWaiters;
    queue_ticket m_nextTicket = 1;
};

} // namespace almondmoor
