// What one proxying host follows in the platform's store: the operators' plan,
// the upstreams and the roster of hosts.
//
// One host of a data centre reads for all: it follows the upstreams by calls that
// the store holds back, and looks at the other two tables whenever the store's
// version shows that something else has changed. It passes what it read on to its
// neighbours. A host that hears from no reader reads by itself, and one that
// cannot reach the store goes on with what it holds and hears.

#pragma once

#include "Core/error.h"
#include "Core/reader_choice.h"
#include "Platform/table_follower.h"
#include "Platform/version_ledger.h"
#include "logging.h"
#include "neighbour_link.h"
#include "proxy_runtime.h"

#include <absl/strings/str_cat.h>
#include <atomic>
#include <condition_variable>
#include <functional>
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
    std::function<absl::StatusOr<serving_config>(const std::string& value)> decodePlan;
    proxy_runtime::statement_decoder decodeUpstream;
};

template <table_store Store>
class fleet_feeds {
public:
    fleet_feeds(proxy_runtime& runtime, neighbour_link& link, feed_source<Store> source)
        : m_runtime(runtime)
        , m_link(link)
        , m_source(std::move(source))
        , m_choice(reader_settings {}, runtime.settings().hostName)
        , m_plan(makeFollower(followed_table::ServingConfig, { .table = m_source.planTable }, [this](const table_update& it) { takePlan(it); }))
        , m_upstreams(makeFollower(followed_table::Upstreams, { .table = m_source.upstreamTable, .pause = upstreamPause }, [this](const table_update& it) { m_runtime.applyUpstreams(it, m_source.decodeUpstream); }))
        , m_rosterRows(makeFollower(followed_table::Membership, { .table = m_source.rosterTable }, [this](const table_update& it) { takeRoster(it); }))
    {
    }

    ~fleet_feeds() { stop(); }

    fleet_feeds(const fleet_feeds&) = delete;
    fleet_feeds& operator=(const fleet_feeds&) = delete;

    void start()
    {
        m_link.setReadingHandlers(
            { [this](const std::string& host, const auto& confirmation) { takeNeighbour(host, confirmation); },
                [this](const table_reading& it) { (void)followerOf(it.table).take(it.update); },
                [this] { return ownConfirmation(); } });
        m_thread = std::thread([this] { run(); });
    }

    // Ends the thread, after its call to the store. The link, which calls the
    // feeds, must have been stopped before.
    void stop()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isStopping = true;
        }
        m_wake.notify_all();
        if (m_thread.joinable())
            m_thread.join();
    }

private:
    using follower = table_follower<Store>;

    // Upstreams change in series, and are to be left alone seconds after they
    // said that they leave.
    static constexpr duration upstreamPause = std::chrono::milliseconds(700);
    // Time between two answers of the store to a reader.
    static constexpr duration confirmInterval = std::chrono::milliseconds(1000);
    // Neighbours pass readings on within this time; what is missing then was lost.
    static constexpr duration relayPatience = std::chrono::milliseconds(60);
    // A host whose neighbours reach the store tries it no more often than this.
    static constexpr duration coveredRetry = std::chrono::seconds(2);
    static constexpr duration longestSleep = std::chrono::seconds(1);
    static constexpr duration retryPause = std::chrono::milliseconds(200);
    // Time after the start within which neighbours are heard.
    static constexpr duration hearingTime = std::chrono::milliseconds(300);

    std::unique_ptr<follower> makeFollower(followed_table table, follower_settings settings, std::function<void(const table_update&)> updated)
    {
        const std::string name = settings.table;
        follower_events events;
        events.updated = std::move(updated);
        events.read = [this, table](const table_update& update) { m_link.passOn({ table, update }); };
        events.lost = [this, name](store_end end, const absl::Status& error) {
            m_runtime.counters().add(event::StoreReadFailures);
            logWarning(absl::StrCat("event=store-lost table=", name, " end=", std::string(nameIn(storeEndNames, end)), " error=\"", errorMessage(error), "\""));
        };
        events.regained = [name] { logInfo(absl::StrCat("event=store-regained table=", name)); };
        const std::uint64_t seed = m_runtime.seed() + static_cast<std::uint64_t>(table);
        return std::make_unique<follower>(m_source.open(), std::move(settings), std::move(events), seed);
    }

    follower& followerOf(followed_table table)
    {
        switch (table) {
        case followed_table::ServingConfig:
            return *m_plan;
        case followed_table::Upstreams:
            return *m_upstreams;
        case followed_table::Membership:
            break;
        }
        return *m_rosterRows;
    }

    void run()
    {
        readFirst();
        duration pause = hearingTime;
        while (sleep(pause))
            pause = turn();
    }

    // Reads all tables once. Guests wait for the plan and the upstreams.
    void readFirst()
    {
        std::thread plan([this] { (void)m_plan->step(duration::zero()); });
        const bool isDone = m_upstreams->step(duration::zero()).isDone;
        plan.join();
        (void)m_rosterRows->step(duration::zero());
        if (m_mustJoin)
            joinRoster();
        // Of two hosts that join at once, one at least finds the other.
        if (isDone && checkOthers())
            noteConfirmed();
    }

    // Waits for a time or until a neighbour says something new. Returns false once
    // the feeds are to stop.
    bool sleep(duration length)
    {
        std::unique_lock lock(m_mutex);
        m_wake.wait_for(lock, length, [this] { return m_isStopping || m_hasNews; });
        m_hasNews = false;
        return !m_isStopping;
    }

    // Does what is due, and returns how long to wait afterwards.
    duration turn()
    {
        if (m_mustJoin)
            joinRoster();
        const instant now = presentInstant();
        const auto heard = withChoice([&](reader_choice& it) {
            it.setCandidate(m_runtime.phase() == stop_phase::Running);
            return it.confirmation(now);
        });
        const bool reads = withChoice([now](reader_choice& it) { return it.shouldRead(now); });
        noteTurn(reads, heard);
        // While a neighbour reaches the store, one that failed to tries it seldom.
        const bool isCovered = heard && now < m_retryAt;
        if (reads && !isCovered)
            return readStore(heard.has_value());
        const duration pause = heard ? catchUp(*heard) : longestSleep;
        const instant next = withChoice([now](reader_choice& it) { return it.nextReadAt(now); });
        const duration untilTurn = (isCovered ? std::max(next, m_retryAt) : next) - now;
        return std::clamp<duration>(std::min(pause, untilTurn), std::chrono::milliseconds(1), longestSleep);
    }

    void noteTurn(bool reads, const std::optional<store_confirmation>& heard)
    {
        if (reads == m_isReading)
            return;
        m_isReading = reads;
        const auto age = heard ? std::chrono::duration_cast<std::chrono::milliseconds>(presentInstant() - heard->respondedAt).count() : -1;
        logInfo(absl::StrCat("event=reader reads=", reads ? "yes" : "no", " neighbour_confirmed_ms_ago=", age));
    }

    // Reads as the reader of this data centre.
    duration readStore(bool isCovered)
    {
        const follower_step step = m_upstreams->step(confirmInterval - m_pause);
        m_pause = step.pause;
        m_ledger.note(step.versions);
        if (!step.isDone) {
            m_pause = duration::zero();
            m_retryAt = presentInstant() + coveredRetry;
            return isCovered ? retryPause : step.pause;
        }
        if (!checkOthers())
            return retryPause;
        noteConfirmed();
        return step.pause;
    }

    // Reads the roster and the plan if the store's version shows that something
    // beside the rows that were read may have changed. Returns whether all is known.
    bool checkOthers()
    {
        const std::uint64_t version = m_upstreams->version();
        for (follower* it : { m_rosterRows.get(), m_plan.get() }) {
            if (m_ledger.accountsFor(version) || it->version() >= version)
                continue;
            const follower_step step = it->step(duration::zero());
            if (!step.isDone)
                return false;
            m_ledger.note(step.versions);
        }
        m_ledger.settle(version);
        return true;
    }

    void noteConfirmed()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_confirmedAt = presentInstant();
        }
        m_link.announce(update_urgency::High);
    }

    // Reads what neighbours know and this host does not, if it stays missing.
    // Returns how long to wait before the next look.
    duration catchUp(const store_confirmation& heard)
    {
        const instant now = presentInstant();
        std::vector<follower*> behind;
        for (const auto& [table, name] : followedTableNames) {
            follower& it = followerOf(table);
            if (it.isBehind(heard.lastChangeVersions[static_cast<std::size_t>(table)]))
                behind.push_back(&it);
        }
        if (behind.empty()) {
            m_behindSince = distantPast;
            return longestSleep;
        }
        if (m_behindSince == distantPast)
            m_behindSince = now;
        if (now - m_behindSince < relayPatience)
            return m_behindSince + relayPatience - now;
        m_behindSince = distantPast;
        duration pause {};
        for (follower* it : behind)
            pause = std::max(pause, it->step(duration::zero()).pause);
        return pause;
    }

    void takeNeighbour(const std::string& host, const std::optional<store_confirmation>& confirmation)
    {
        const instant now = presentInstant();
        const bool isNews = withChoice([&](reader_choice& it) {
            const auto before = it.confirmation(now);
            it.recordNeighbour(host, confirmation, now);
            const auto after = it.confirmation(now);
            return before.has_value() != after.has_value() || (after && after->lastChangeVersions != before->lastChangeVersions);
        });
        if (!isNews)
            return;
        {
            const std::lock_guard lock(m_mutex);
            m_hasNews = true;
        }
        m_wake.notify_all();
    }

    std::optional<store_confirmation> ownConfirmation()
    {
        const std::lock_guard lock(m_mutex);
        if (m_runtime.phase() != stop_phase::Running || presentInstant() - m_confirmedAt >= reader_settings {}.confirmationTtl)
            return std::nullopt;
        return store_confirmation { m_confirmedAt, { m_plan->changedAt(), m_upstreams->changedAt(), m_rosterRows->changedAt() } };
    }

    template <typename Function>
    auto withChoice(Function&& function)
    {
        const std::lock_guard lock(m_choiceMutex);
        return function(m_choice);
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
            m_runtime.counters().add(event::ServingConfigsRejected);
            logError(absl::StrCat("event=plan-refused version=", row.version, " error=\"", errorMessage(plan.status()), "\""));
        }
    }

    roster_entry ownEntry() const { return { m_runtime.settings().peerAddress, m_runtime.settings().dataCentre }; }

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
        const std::string& own = m_runtime.settings().hostName;
        const auto found = m_roster.find(own);
        m_mustJoin = found == m_roster.end() || found->second != ownEntry();
        m_roster[own] = ownEntry();
        m_runtime.adoptRoster(m_roster);
        m_link.adoptRoster(m_roster);
    }

    void joinRoster()
    {
        const auto written = m_source.open().writeRow(m_source.rosterTable, m_runtime.settings().hostName, encodeRosterEntry(ownEntry()));
        m_mustJoin = written.end != store_end::Done;
        if (m_mustJoin)
            logWarning(absl::StrCat("event=roster-write-failed end=", std::string(nameIn(storeEndNames, written.end)), " error=\"", errorMessage(written.error), "\""));
    }

    proxy_runtime& m_runtime;
    neighbour_link& m_link;
    feed_source<Store> m_source;
    std::mutex m_choiceMutex;
    reader_choice m_choice;
    std::unique_ptr<follower> m_plan;
    std::unique_ptr<follower> m_upstreams;
    std::unique_ptr<follower> m_rosterRows;
    // Guarded by the roster's follower.
    host_roster m_roster;
    std::atomic<bool> m_mustJoin { false };
    // The following five are used by the feed's thread only.
    version_ledger m_ledger;
    bool m_isReading = false;
    duration m_pause {};
    instant m_retryAt = distantPast;
    instant m_behindSince = distantPast;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    instant m_confirmedAt = distantPast;
    bool m_hasNews = false;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace almondmoor
