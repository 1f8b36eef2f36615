// Follows one table of a store: reads the full table once and then its changes. Recovers from outages, lost responses
// and discarded change history. Changes and full tables that a neighbour has read from the store can be applied as
// well.
//
// If the store comes back from an older copy, the table is read whole again and replaces the known one, although its
// version may be lower. What was read in an earlier era of the store never replaces a table of a later one.
//
// Each call of step() makes one call to the store, or two if the store has discarded the history or has come back from an
// older copy, and returns the delay before the next one. The follower has no clock and no thread of its own. All member functions may be called from any
// thread, but step() from only one at a time.

#pragma once

#include "Platform/table_store.h"

#include <algorithm>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace almondmoor {

struct follower_settings {
    std::string table;
    // Delay after a response with changes, so that a burst of changes is read with few calls.
    duration delayAfterChanges {};
    duration initialBackoff = std::chrono::milliseconds(100);
    duration maxBackoff = std::chrono::milliseconds(800);
};

struct follower_events {
    // Called with each update that holds rows, read by this host or by a neighbour, and with the first update after an
    // outage even if nothing changed. The calls come in the order of the versions.
    std::function<void(const table_update&)> onUpdate;
    // Called with the changes that this host has read, so that it can relay them to neighbours. Called with the full
    // table only if the store has come back from an older copy. Optional.
    std::function<void(const table_update&)> onChangesRead;
    // Called at the first failure after a success or after the start, with its reason. Further consecutive failures
    // are not reported.
    std::function<void(store_result, const absl::Status&)> onStoreLost;
    // Called at the first success after a failure.
    std::function<void()> onStoreRegained;
};

// Result of table_follower::step().
struct follower_step {
    bool succeeded = false;
    bool hasUpdates = false;
    // Time to wait before the next call.
    duration delay {};
    // Versions of the store at which the rows of the response were changed; empty after a read of the full table.
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

    // Reads what is new. While nothing changes, the store may delay its response for up to maxWait.
    follower_step step(duration maxWait)
    {
        const read_start from = nextRead();
        bool isFullTable = from.isFullTable;
        store_response response = isFullTable ? m_store.readTable(m_settings.table) : m_store.readChanges(m_settings.table, from.after.version, maxWait);
        // Changes after a version of an earlier era lack what happened below that version since.
        const bool isOfLaterEra = response.result == store_result::Done && response.position.era > from.after.era;
        if (response.result == store_result::HistoryGone || (isOfLaterEra && !isFullTable)) {
            isFullTable = true;
            response = m_store.readTable(m_settings.table);
        }
        response.position = withEra(response.position, from.after.era);
        if (response.result == store_result::Done && response.position.era < from.after.era)
            response = { store_result::BadResponse, {}, {}, absl::DataLossError("the store's era fell") };
        const std::lock_guard lock(m_mutex);
        m_needsFullRead = m_needsFullRead || isFullTable;
        if (response.result != store_result::Done)
            return { false, false, recordFailure(response), {} };
        const bool isFirstAfterOutage = recordSuccess();
        const bool hasUpdates = isFullTable || !response.rows.empty();
        // A later update from a neighbour may have been applied during the call.
        const bool isOutdated = response.position.era < m_position.era || (!m_needsFullRead && response.position < m_position);
        if (isOutdated)
            return { true, false, duration::zero(), {} };
        table_update update { isFullTable, isFirstAfterOutage, std::move(response.rows), lastChanged(), response.position, false };
        update.isRewound = isRewound(update);
        if (hasUpdates)
            setLastChanged(response.position);
        keepRows(update);
        if (hasUpdates || isFirstAfterOutage)
            m_events.onUpdate(update);
        if (hasUpdates && (!isFullTable || update.isRewound) && m_events.onChangesRead)
            m_events.onChangesRead(update);
        return { true, hasUpdates, hasUpdates ? m_settings.delayAfterChanges : duration::zero(), isFullTable ? std::vector<std::uint64_t> {} : versionsOf(update) };
    }

    // Applies changes or a full table that a neighbour has read. Returns false if these contain nothing new or, for
    // changes, if changes between the version known here and these are missing or the full table is not known yet.
    bool applyNeighbourUpdate(table_update update)
    {
        const std::lock_guard lock(m_mutex);
        update.position = withEra(update.position, m_position.era);
        update.after = withEra(update.after, m_position.era);
        const bool isNewer = update.position > m_position || (update.isFullTable && m_needsFullRead && update.position >= m_position);
        const bool isOfSameEra = update.position.era == m_position.era && update.after.era == m_position.era;
        const bool isConnected = update.isFullTable || (!m_needsFullRead && isOfSameEra && update.after <= m_position);
        if (!isNewer || !isConnected)
            return false;
        update.isRewound = isRewound(update);
        setLastChanged(update.position);
        keepRows(update);
        m_events.onUpdate(update);
        return true;
    }

    // Returns all rows as known here, or nothing before the full table is known or if it has not changed after the given
    // position.
    std::optional<table_update> fullTable(const store_position& known = {}) const
    {
        const std::lock_guard lock(m_mutex);
        if (m_needsFullRead || (known.version > 0 && lastChanged() <= withEra(known, m_position.era)))
            return std::nullopt;
        table_update update { true, false, {}, {}, m_position, false };
        for (const auto& [key, row] : m_rows)
            update.rows.push_back(row);
        return update;
    }

    // Returns whether the table lacks changes here, given the position at which the table last changed.
    bool isBehind(const store_position& lastChange) const
    {
        const std::lock_guard lock(m_mutex);
        return m_needsFullRead || m_position < withEra(lastChange, m_position.era);
    }

    // Returns whether the full table is not known.
    bool lacksTable() const
    {
        const std::lock_guard lock(m_mutex);
        return m_needsFullRead;
    }

    // Returns the position in the store up to which the table is known, also if its history was discarded since.
    store_position position() const
    {
        const std::lock_guard lock(m_mutex);
        return m_position;
    }

    // Returns the position of the latest update that held rows or the full table.
    store_position lastChanged() const
    {
        const std::lock_guard lock(m_lastChangedMutex);
        return m_lastChanged;
    }

private:
    struct read_start {
        bool isFullTable = true;
        store_position after;
    };

    read_start nextRead() const
    {
        const std::lock_guard lock(m_mutex);
        return { m_needsFullRead, m_position };
    }

    // Returns whether an update replaces a table of an earlier era.
    bool isRewound(const table_update& update) const { return update.isFullTable && m_position.version > 0 && m_position.era < update.position.era; }

    void setLastChanged(const store_position& it)
    {
        const std::lock_guard lock(m_lastChangedMutex);
        m_lastChanged = it;
    }

    static std::vector<std::uint64_t> versionsOf(const table_update& update)
    {
        std::vector<std::uint64_t> versions;
        for (const stored_row& row : update.rows)
            versions.push_back(row.version);
        return versions;
    }

    // Takes over the rows and the position of an update, after which the full table is known.
    void keepRows(const table_update& update)
    {
        if (update.isFullTable)
            m_rows.clear();
        for (const stored_row& row : update.rows) {
            if (row.isRemoved)
                m_rows.erase(row.key);
            else
                m_rows[row.key] = row;
        }
        m_position = update.position;
        m_needsFullRead = false;
    }

    // Returns the delay before the next call.
    duration recordFailure(const store_response& response)
    {
        if (m_failures++ == 0)
            m_events.onStoreLost(response.result, response.error);
        const unsigned doublings = std::min(m_failures - 1, 8U);
        const duration maxDelay = std::min(m_settings.initialBackoff * (1 << doublings), m_settings.maxBackoff);
        // Half of the delay is random, so that the hosts do not all retry at the same time after an outage.
        std::uniform_int_distribution<duration::rep> jitter(maxDelay.count() / 2, maxDelay.count());
        return duration(jitter(m_random));
    }

    // Returns whether this is the first success after a failure.
    bool recordSuccess()
    {
        const bool isFirstAfterOutage = m_failures > 0;
        m_failures = 0;
        if (isFirstAfterOutage)
            m_events.onStoreRegained();
        return isFirstAfterOutage;
    }

    Store m_store;
    follower_settings m_settings;
    follower_events m_events;
    std::mt19937_64 m_random;
    mutable std::mutex m_mutex;
    bool m_needsFullRead = true;
    store_position m_position;
    // The table as of m_position, by key. Empty before the full table is known.
    std::map<std::string, stored_row> m_rows;
    // Has a mutex of its own because it is read while m_mutex is held and the events' functions are called.
    mutable std::mutex m_lastChangedMutex;
    store_position m_lastChanged;
    unsigned m_failures = 0;
};

} // namespace almondmoor
