// The feeds of one proxying host: the operators' plan, the upstreams and the
// roster of hosts, each followed on a thread of its own from a table store.
//
// A host that cannot reach the store goes on with what it holds.

#pragma once

#include "Core/error.h"
#include "Platform/table_follower.h"
#include "logging.h"
#include "neighbour_link.h"
#include "proxy_runtime.h"

#include <absl/strings/str_cat.h>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace almondmoor {

// Where the platform keeps what hosts follow, and how it is read.
template <table_store Store>
struct feed_source {
    std::string planTable;
    std::string planKey;
    std::string upstreamTable;
    // Written by the hosts themselves.
    std::string rosterTable;
    std::function<Store()> open;
    std::function<absl::StatusOr<serving_plan>(const std::string& value)> decodePlan;
    proxy_runtime::statement_decoder decodeUpstream;
};

template <table_store Store>
class fleet_feeds {
public:
    fleet_feeds(proxy_runtime& runtime, neighbour_link& link, feed_source<Store> source)
        : m_runtime(runtime)
        , m_link(link)
        , m_source(std::move(source))
    {
    }

    ~fleet_feeds() { stop(); }

    fleet_feeds(const fleet_feeds&) = delete;
    fleet_feeds& operator=(const fleet_feeds&) = delete;

    void start()
    {
        follow({ .table = m_source.planTable }, [this](const table_update& update) { takePlan(update); });
        follow({ .table = m_source.upstreamTable, .pause = upstreamPause }, [this](const table_update& update) { m_runtime.applyUpstreams(update, m_source.decodeUpstream); });
        follow({ .table = m_source.rosterTable, .pause = rosterPause }, [this](const table_update& update) { takeRoster(update); });
    }

    // Ends the threads. A thread in the middle of a call is left behind, since
    // the store may hold the call for long and the process is about to end.
    void stop()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isStopping = true;
        }
        m_stopped.notify_all();
        for (std::thread& it : m_threads) {
            if (it.joinable())
                it.detach();
        }
        m_threads.clear();
    }

private:
    // Upstreams change in series, and are to be left alone seconds after they
    // said that they leave.
    static constexpr duration upstreamPause = std::chrono::milliseconds(700);
    static constexpr duration rosterPause = std::chrono::seconds(2);

    void follow(follower_settings settings, std::function<void(const table_update&)> updated)
    {
        const std::string table = settings.table;
        follower_events events;
        events.updated = std::move(updated);
        events.lost = [this, table](store_end end, const absl::Status& error) {
            m_runtime.counters().add(event::StoreReadFailures);
            logWarning(absl::StrCat("event=store-lost table=", table, " end=", std::string(nameIn(storeEndNames, end)), " error=\"", errorMessage(error), "\""));
        };
        events.regained = [table] { logInfo(absl::StrCat("event=store-regained table=", table)); };
        const std::uint64_t seed = m_runtime.seed() + m_threads.size();
        m_threads.emplace_back([this, settings = std::move(settings), events = std::move(events), seed] {
            table_follower<Store> follower(m_source.open(), settings, events, seed);
            while (pause(follower.step())) {
            }
        });
    }

    // Waits. Returns false once the feeds are to stop.
    bool pause(duration length)
    {
        std::unique_lock lock(m_mutex);
        return !m_stopped.wait_for(lock, length, [this] { return m_isStopping; });
    }

    void takePlan(const table_update& update)
    {
        for (const stored_row& row : update.rows) {
            if (row.key != m_source.planKey || row.isRemoved)
                continue;
            auto plan = m_source.decodePlan(row.value);
            if (plan.ok()) {
                m_runtime.adoptPlan(*std::move(plan));
                continue;
            }
            m_runtime.counters().add(event::PlansRefused);
            logError(absl::StrCat("event=plan-refused version=", row.version, " error=\"", errorMessage(plan.status()), "\""));
        }
    }

    void takeRoster(const table_update& update)
    {
        if (update.isWhole)
            m_roster.clear();
        for (const stored_row& row : update.rows) {
            const auto entry = row.isRemoved ? std::nullopt : decodeRosterEntry(row.value);
            if (entry)
                m_roster[row.key] = *entry;
            else
                m_roster.erase(row.key);
        }
        const auto& settings = m_runtime.settings();
        const roster_entry own { settings.peerAddress, settings.dataCentre };
        const auto found = m_roster.find(settings.hostName);
        if (found == m_roster.end() || found->second != own)
            joinRoster(own);
        m_roster[settings.hostName] = own;
        m_runtime.adoptRoster(m_roster);
        m_link.adoptRoster(m_roster);
    }

    void joinRoster(const roster_entry& own)
    {
        const auto written = m_source.open().writeRow(m_source.rosterTable, m_runtime.settings().hostName, encodeRosterEntry(own));
        if (written.end != store_end::Done)
            logWarning(absl::StrCat("event=roster-write-failed end=", std::string(nameIn(storeEndNames, written.end)), " error=\"", errorMessage(written.error), "\""));
    }

    proxy_runtime& m_runtime;
    neighbour_link& m_link;
    feed_source<Store> m_source;
    // Used by the roster's thread only.
    host_roster m_roster;
    std::mutex m_mutex;
    std::condition_variable m_stopped;
    bool m_isStopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace almondmoor
