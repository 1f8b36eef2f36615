// Follows one table of a store: reads it whole, then its changes, and recovers
// from outages, lost answers and discarded history. Changes that a neighbour has
// read are taken in as well.
//
// Each call of step() makes one call to the store and says how long to pause
// before the next. The follower has no clock and no thread of its own; all members
// may be called from any thread, and step() from one at a time.

#pragma once

#include "Platform/table_store.h"

#include <algorithm>
#include <atomic>
#include <functional>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace almondmoor {

struct follower_settings {
    std::string table;
    // Pause after changes, so that a series of them takes few calls.
    duration pause {};
    duration firstBackoff = std::chrono::milliseconds(100);
    duration longestBackoff = std::chrono::milliseconds(800);
};

struct follower_events {
    // Called with each reading that brought news, of this host or a neighbour, in
    // the order of versions.
    std::function<void(const table_update&)> updated;
    // Called with each reading of this host that neighbours may need.
    std::function<void(const table_update&)> read;
    // Called at the first failure of a series, with its reason.
    std::function<void(store_end, const absl::Status&)> lost;
    // Called at the first success after a failure.
    std::function<void()> regained;
};

// How one call of the follower ended.
struct follower_step {
    bool isDone = false;
    bool hasNews = false;
    // Time to wait before the next call.
    duration pause {};
    // Versions of the store that the reading's rows account for; none after a whole
    // reading.
    std::vector<std::uint64_t> versions;
};

template <table_store Store>
class table_follower {
public:
    table_follower(Store store, follower_settings settings, follower_events events, std::uint64_t seed)
        : m_store(std::move(store))
        , m_settings(std::move(settings))
        , m_events(std::move(events))
        , m_random(seed)
    {
    }

    // Reads once. The store may hold the call back for a time while nothing changes.
    follower_step step(duration wait)
    {
        const auto [isWhole, after] = position();
        store_reading reading = isWhole ? m_store.readTable(m_settings.table) : m_store.readChanges(m_settings.table, after, wait);
        const std::lock_guard lock(m_mutex);
        if (reading.end == store_end::HistoryGone) {
            m_needsWhole = true;
            return {};
        }
        if (reading.end != store_end::Done)
            return { false, false, noteFailure(reading), {} };
        const bool wasAway = noteSuccess();
        const bool hasNews = isWhole || !reading.rows.empty();
        // A neighbour's later reading may have been taken in meanwhile.
        const bool isLate = !m_needsWhole && reading.version < m_version;
        if (isLate)
            return { true, false, duration::zero(), {} };
        table_update update { isWhole, wasAway, std::move(reading.rows), m_changedAt, reading.version };
        if (hasNews)
            m_changedAt = reading.version;
        m_version = reading.version;
        m_needsWhole = false;
        if (hasNews || wasAway)
            m_events.updated(update);
        if (hasNews && !isWhole && m_events.read)
            m_events.read(update);
        return { true, hasNews, hasNews ? m_settings.pause : duration::zero(), isWhole ? std::vector<std::uint64_t> {} : versionsOf(update) };
    }

    // Takes in changes that a neighbour has read. Returns false if they do not
    // follow what is known, or bring nothing new.
    bool take(const table_update& update)
    {
        const std::lock_guard lock(m_mutex);
        if (m_needsWhole || update.after > m_version || update.version <= m_version)
            return false;
        m_version = update.version;
        m_changedAt = update.version;
        m_events.updated(update);
        return true;
    }

    // Returns whether a table that last changed at a version has changes that are
    // not known here.
    bool isBehind(std::uint64_t changedAt) const
    {
        const std::lock_guard lock(m_mutex);
        return m_needsWhole || m_version < changedAt;
    }

    // Returns the version up to which the table is known.
    std::uint64_t version() const
    {
        const std::lock_guard lock(m_mutex);
        return m_version;
    }

    // Returns the version of the latest reading that brought news.
    std::uint64_t changedAt() const { return m_changedAt; }

private:
    struct read_position {
        bool isWhole = true;
        std::uint64_t after = 0;
    };

    read_position position() const
    {
        const std::lock_guard lock(m_mutex);
        return { m_needsWhole, m_version };
    }

    static std::vector<std::uint64_t> versionsOf(const table_update& update)
    {
        std::vector<std::uint64_t> versions;
        for (const stored_row& row : update.rows)
            versions.push_back(row.version);
        return versions;
    }

    duration noteFailure(const store_reading& reading)
    {
        if (m_failures++ == 0)
            m_events.lost(reading.end, reading.error);
        const unsigned doublings = std::min(m_failures - 1, 8U);
        const duration longest = std::min(m_settings.firstBackoff * (1 << doublings), m_settings.longestBackoff);
        // Half of the pause is random, so that hosts do not return all at once.
        std::uniform_int_distribution<duration::rep> jitter(longest.count() / 2, longest.count());
        return duration(jitter(m_random));
    }

    bool noteSuccess()
    {
        const bool wasAway = m_failures > 0;
        m_failures = 0;
        if (wasAway)
            m_events.regained();
        return wasAway;
    }

    Store m_store;
    follower_settings m_settings;
    follower_events m_events;
    std::mt19937_64 m_random;
    mutable std::mutex m_mutex;
    bool m_needsWhole = true;
    std::uint64_t m_version = 0;
    // Read without the mutex, since events are called under it.
    std::atomic<std::uint64_t> m_changedAt { 0 };
    unsigned m_failures = 0;
};

} // namespace almondmoor
