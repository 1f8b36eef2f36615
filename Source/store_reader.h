// Reads the three tables that a proxying host follows from the platform's store.
//
// Each table has a follower, which also takes over what neighbours read. The reader decides
// in which order the tables are read and on which of them a call may wait for changes.

#pragma once

#include "Core/name_table.h"
#include "Core/reader_choice.h"
#include "Platform/table_follower.h"
#include "Platform/version_ledger.h"
#include "logging.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <limits>
#include <memory>
#include <string>
#include <thread>

namespace almondmoor {

// Returns the words by which log lines tell of a position. The era is left out if the store does not tell it.
inline std::string positionFields(const store_position& it)
{
    return it.era == 0 ? absl::StrCat(" version=", it.version) : absl::StrCat(" era=", it.era, " version=", it.version);
}

// Result of reading all tables.
struct store_reading {
    bool succeeded = false;
    // When the store responded with the version up to which all tables are known.
    instant respondedAt = distantPast;
    // Time to wait before the next read.
    duration delay {};
};

template <table_store Store>
class store_reader {
public:
    using follower = table_follower<Store>;
    // Indexed by followed_table.
    using follower_array = std::array<std::unique_ptr<follower>, followedTableNames.size()>;

    explicit store_reader(follower_array followers)
        : m_followers(std::move(followers))
    {
    }

    follower& operator[](followed_table table) { return *m_followers[static_cast<std::size_t>(table)]; }

    // Reads what is new in a table and logs the call, unless it ended a wait without a change: these calls of the
    // data centre's reader are too many to log.
    follower_step read(followed_table table, duration maxWait)
    {
        const instant startedAt = presentInstant();
        follower_step step = (*this)[table].step(maxWait);
        if (step.hasUpdates || !step.succeeded || maxWait == duration::zero()) {
            logInfo(absl::StrCat("event=store-read table=", std::string(nameIn(followedTableNames, table)), " end=", step.succeeded ? "done" : "failed", " changes=", step.hasUpdates ? "yes" : "no",
                positionFields((*this)[table].position()), " wait_ms=", wholeMilliseconds(maxWait), " took_ms=", wholeMilliseconds(presentInstant() - startedAt)));
        }
        return step;
    }

    // Reads all tables once. The serving configuration and the upstreams are read in parallel, because clients wait for
    // both.
    void readAtStart()
    {
        std::thread configThread([this] { (void)read(followed_table::ServingConfig, duration::zero()); });
        (void)read(followed_table::Upstreams, duration::zero());
        configThread.join();
        (void)read(followed_table::Membership, duration::zero());
    }

    // Waits for changes of the upstreams. Reads the other tables if the store's version shows that rows other than those
    // already read may have changed.
    store_reading poll(duration wait)
    {
        const follower_step upstreams = read(followed_table::Upstreams, wait);
        const instant respondedAt = presentInstant();
        const store_position known = (*this)[followed_table::Upstreams].position();
        m_ledger.recordVersions(known.era, upstreams.versions);
        if (!upstreams.succeeded)
            return { false, respondedAt, upstreams.delay };
        for (const followed_table table : { followed_table::ServingConfig, followed_table::Membership }) {
            if (m_ledger.isCompleteUpTo(known) || (*this)[table].position() >= known)
                continue;
            const follower_step step = read(table, duration::zero());
            if (!step.succeeded)
                return { false, respondedAt, step.delay };
            m_ledger.recordVersions((*this)[table].position().era, step.versions);
        }
        m_ledger.markCompleteUpTo(known);
        return { true, respondedAt, upstreams.delay };
    }

    // Reads all tables without a wait. After a failure the next call begins with the table behind the one that failed,
    // so that a table without response does not hold up the others.
    store_reading readInTurn()
    {
        instant respondedAt = distantPast;
        store_position completeUpTo { std::numeric_limits<std::uint64_t>::max(), std::numeric_limits<std::uint64_t>::max() };
        for (std::size_t index = 0; index < m_followers.size(); ++index) {
            const std::size_t position = (m_firstTable + index) % m_followers.size();
            const auto table = static_cast<followed_table>(position);
            const follower_step step = read(table, duration::zero());
            if (!step.succeeded) {
                m_firstTable = (position + 1) % m_followers.size();
                return { false, distantPast, step.delay };
            }
            if (index == 0)
                respondedAt = presentInstant();
            const store_position known = (*this)[table].position();
            m_ledger.recordVersions(known.era, step.versions);
            completeUpTo = std::min(completeUpTo, known);
        }
        m_firstTable = 0;
        m_ledger.markCompleteUpTo(completeUpTo);
        return { true, respondedAt, duration::zero() };
    }

    // Returns the positions up to which the tables are known; the version is zero for a table that is not known.
    table_positions knownPositions() const
    {
        table_positions positions {};
        for (std::size_t index = 0; index < m_followers.size(); ++index)
            positions[index] = m_followers[index]->lacksTable() ? store_position {} : m_followers[index]->position();
        return positions;
    }

    // Returns the positions at which the tables last changed.
    table_positions lastChanges() const
    {
        table_positions positions {};
        for (std::size_t index = 0; index < m_followers.size(); ++index)
            positions[index] = m_followers[index]->lastChanged();
        return positions;
    }

private:
    follower_array m_followers;
    // Only the thread that reads uses these two.
    version_ledger m_ledger;
    // The table with which readInTurn() begins.
    std::size_t m_firstTable = 0;
};

} // namespace almondmoor
