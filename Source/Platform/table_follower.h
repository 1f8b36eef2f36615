// Follows one table of a store: reads it whole, then its changes, and recovers
// from outages, lost answers and discarded history.
//
// Each call of step() makes one call to the store and returns how long to pause
// before the next. The follower has no clock and no thread of its own.

#pragma once

#include "Platform/table_store.h"

#include <algorithm>
#include <functional>
#include <random>
#include <string>

namespace almondmoor {

struct follower_settings {
    std::string table;
    // Time for which the store may hold a call back while nothing changes.
    duration wait = std::chrono::seconds(20);
    // Pause after changes, so that a series of them takes few calls.
    duration pause {};
    duration firstBackoff = std::chrono::milliseconds(100);
    duration longestBackoff = std::chrono::milliseconds(800);
};

// What one reading brought.
struct table_update {
    // True if the rows are all rows of the table, and others are gone.
    bool isWhole = false;
    // True if this is the first reading after the store could not be read.
    bool wasAway = false;
    std::vector<stored_row> rows;
    std::uint64_t version = 0;
};

struct follower_events {
    std::function<void(const table_update&)> updated;
    // Called at the first failure of a series, with its reason.
    std::function<void(store_end, const absl::Status&)> lost;
    // Called at the first success after a failure.
    std::function<void()> regained;
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

    // Reads once. Returns the pause before the next step.
    duration step()
    {
        const bool isWhole = m_needsWhole;
        store_reading reading = isWhole ? m_store.readTable(m_settings.table) : m_store.readChanges(m_settings.table, m_version, m_settings.wait);
        if (reading.end == store_end::HistoryGone) {
            m_needsWhole = true;
            return duration::zero();
        }
        if (reading.end != store_end::Done)
            return noteFailure(reading);
        const bool wasAway = noteSuccess();
        m_version = reading.version;
        m_needsWhole = false;
        const bool hasNews = isWhole || !reading.rows.empty();
        if (hasNews || wasAway)
            m_events.updated({ isWhole, wasAway, std::move(reading.rows), m_version });
        return hasNews ? m_settings.pause : duration::zero();
    }

private:
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
    bool m_needsWhole = true;
    std::uint64_t m_version = 0;
    unsigned m_failures = 0;
};

} // namespace almondmoor
