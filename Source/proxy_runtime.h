// State that the threads of one proxying host share: the serving configuration, the
// directory of upstreams, the dispatch core behind one mutex, metrics and connections.
//
// Feeds publish serving configurations and upstreams; request handlers read them. The
// version of the serving configuration never decreases while the process runs.

#pragma once

#include "Core/dispatch_core.h"
#include "Core/memory_budget.h"
#include "Core/report_pacing.h"
#include "Core/upstream_registry.h"
#include "Platform/table_follower.h"
#include "fiber_loop.h"
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

// Phases of a planned stop.
enum class stop_phase {
    Running,
    // The host reports not ready but still serves all requests.
    Notice,
    // Each response closes its connection.
    Closing,
    // New requests are refused; running requests may finish.
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

    // Returns the current serving configuration, or null before the first one.
    std::shared_ptr<const serving_config> config() const;

    // Applies a serving configuration. Drops one that is not newer than the current one.
    void applyConfig(serving_config);

    // Applies rows of service discovery, each decoded by the given function. Rows that the
    // function rejects are counted and treated as removed.
    using upstream_decoder = std::function<absl::StatusOr<upstream_record>(const stored_row&, instant now)>;
    void applyUpstreams(const table_update&, const upstream_decoder&);

    // Applies operators' orders to evacuate data centres.
    void applyEvacuations(const evacuation_update&);

    // Records what an upstream announced about itself in its response to a request, and closes the idle connections to an
    // upstream that is leaving.
    void recordAnnouncement(const directory_entry&, const upstream_announcement&, const std::string& requestId);

    // Applies the membership of the fleet.
    void applyMembership(const fleet_membership&);

    // Runs a function on the dispatch core while holding its mutex.
    template <typename Function>
    auto withCore(Function&& function)
    {
        const no_suspend_scope scope;
        const std::lock_guard lock(m_coreMutex);
        return function(m_core);
    }

    // Does periodic work: expires directory entries, closes idle connections, detects
    // unreachable neighbours and records idle upstreams.
    void tick();

    // Requests a report to the neighbours from the function that setReportScheduler() set.
    void scheduleReport(update_urgency) const;
    void setReportScheduler(std::function<void(update_urgency)> scheduler) { m_reportScheduler = std::move(scheduler); }

    // Sets the function that receives the client limits of each new serving configuration.
    void setLimitsHandler(std::function<void(const client_limits&)> handler) { m_onLimits = std::move(handler); }

    // Returns whether the process started so recently that its first serving configuration
    // and directory can be expected soon.
    bool isStarting() const;

    // Waits for the first serving configuration and the first directory, at most until the
    // deadline. Returns the serving configuration, or null if there is none yet.
    std::shared_ptr<const serving_config> waitUntilReady(instant deadline);

    // Returns whether the host accepts clients: the serving configuration and the upstreams
    // are known, and no planned stop has begun.
    bool isReady() const;
    stop_phase phase() const { return m_phase; }
    void setPhase(stop_phase);

    metrics& counters() { return m_metrics; }

    // The memory that running requests hold; may be used by any thread.
    memory_budget& memory() { return m_memory; }
    upstream_pool& upstreams() { return m_upstreams; }
    std::uint64_t incarnation() const { return m_incarnation; }
    std::uint64_t seed() const { return m_seed; }

private:
    // Takes over a row of an update of the upstreams' table. Returns false if it could not be decoded. A whole table is
    // logged as one event, single changes one by one. The caller holds m_registryMutex.
    bool applyUpstream(const stored_row&, const absl::StatusOr<upstream_record>&, const table_update&, instant now);
    // Logs what a serving configuration says that has no valid meaning or no effect.
    void logRemarks(const serving_config&) const;
    // Publishes the directory of the registry. The caller holds m_registryMutex.
    void publishDirectory(instant now);
    void recordIdleUpstream(const idle_upstream&);
    // Logs and counts the upstreams that became cold or warm.
    void recordColdUpstreams(instant now);
    // Logs the quarantines that began, and counts those that stand.
    void recordQuarantines(instant now);
    void logEvacuation(const evacuation_event&) const;
    // Sets the gauges of evacuated data centres and upstreams.
    void updateEvacuationGauges();

    proxy_settings m_settings;
    wire_names m_wire;
    std::uint64_t m_seed;
    std::uint64_t m_incarnation;
    metrics m_metrics;
    memory_budget m_memory;
    upstream_pool m_upstreams;
    instant m_startedAt;
    mutable std::mutex m_configMutex;
    // Signalled when a serving configuration or a directory is published.
    std::condition_variable m_published;
    std::shared_ptr<const serving_config> m_config;
    std::mutex m_registryMutex;
    upstream_registry m_registry;
    std::atomic<bool> m_hasDirectory { false };
    std::atomic<stop_phase> m_phase { stop_phase::Running };
    std::function<void(update_urgency)> m_reportScheduler;
    std::function<void(const client_limits&)> m_onLimits;
    std::mutex m_coreMutex;
    dispatch_core m_core;
};

} // namespace almondmoor
