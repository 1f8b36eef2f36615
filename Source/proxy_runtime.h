// What the threads of one proxying host share: the plan, the upstreams, the
// decisions under one mutex, counters and connections.
//
// Feeds publish plans and upstreams; requests read them. Versions only rise
// within one life of the process.

#pragma once

#include "Core/dispatch_core.h"
#include "Core/report_pacing.h"
#include "Core/upstream_registry.h"
#include "Platform/table_follower.h"
#include "metrics.h"
#include "neighbour_codec.h"
#include "proxy_settings.h"
#include "upstream_pool.h"
#include "wire_names.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace almondmoor {

// How far a planned stop has come.
enum class stop_phase {
    Running,
    // Shown as not ready, still serving all.
    Notice,
    // Each answer closes its connection.
    Closing,
    // New requests are refused; running ones end.
    Ending
};

inline constexpr name_table<stop_phase, 4> stopPhaseNames { {
    { stop_phase::Running, "running" },
    { stop_phase::Notice, "notice" },
    { stop_phase::Closing, "closing" },
    { stop_phase::Ending, "ending" },
} };

class proxy_runtime {
public:
    proxy_runtime(const proxy_settings&, wire_names);

    const proxy_settings& settings() const { return m_settings; }
    const wire_names& wire() const { return m_wire; }

    // Returns the plan that requests go by, or null before the first.
    std::shared_ptr<const serving_config> plan() const;

    // Follows a plan. One that is not newer than the present plan is dropped.
    void adoptPlan(serving_config);

    // Applies rows of service discovery, which the function decodes.
    using statement_decoder = std::function<absl::StatusOr<upstream_record>(const stored_row&, instant now)>;
    void applyUpstreams(const table_update&, const statement_decoder&);

    // Follows the roster of the fleet.
    void adoptRoster(const host_roster&);

    // Runs a function on the decisions under their mutex.
    template <typename Function>
    auto withCore(Function&& function)
    {
        const std::lock_guard lock(m_coreMutex);
        return function(m_core);
    }

    // Does what is due: entries that lapse, idle connections, silent neighbours.
    void tick();

    // Tells the neighbours of a change, by the function set at start.
    void announce(update_urgency) const;
    void setAnnouncer(std::function<void(update_urgency)> announcer) { m_announcer = std::move(announcer); }

    // Called with the limits for guests of each new plan.
    void setLimitsHandler(std::function<void(const client_limits&)> handler) { m_onLimits = std::move(handler); }

    // Returns whether the process started a moment ago and can expect its first
    // plan and upstreams soon.
    bool isStarting() const;

    // Waits for the first plan and upstreams. Returns the plan, or null if the
    // deadline passed before.
    std::shared_ptr<const serving_config> waitUntilReady(instant deadline);

    // Returns whether guests may come: a plan and the upstreams are known, and no
    // stop has begun.
    bool isReady() const;
    stop_phase phase() const { return m_phase; }
    void setPhase(stop_phase);

    metrics& counters() { return m_metrics; }
    upstream_pool& upstreams() { return m_upstreams; }
    std::uint64_t incarnation() const { return m_incarnation; }
    std::uint64_t seed() const { return m_seed; }

private:
    // Publishes the book's directory. The feed mutex is held.
    void publishDirectory(instant now);
    void noteIdle(const idle_upstream&);

    proxy_settings m_settings;
    wire_names m_wire;
    std::uint64_t m_seed;
    std::uint64_t m_incarnation;
    metrics m_metrics;
    upstream_pool m_upstreams;
    instant m_startedAt;
    mutable std::mutex m_planMutex;
    // Signalled when a plan or a directory is published.
    std::condition_variable m_published;
    std::shared_ptr<const serving_config> m_plan;
    std::mutex m_feedMutex;
    upstream_registry m_book;
    std::atomic<bool> m_hasDirectory { false };
    std::atomic<stop_phase> m_phase { stop_phase::Running };
    std::function<void(update_urgency)> m_announcer;
    std::function<void(const client_limits&)> m_onLimits;
    std::mutex m_coreMutex;
    dispatch_core m_core;
};

} // namespace almondmoor
