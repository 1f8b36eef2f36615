// Builds the directory of upstreams from the rows of service discovery.
//
// Rows may be late, may come from an upstream's earlier start, and may vanish while
// the store is unavailable although the upstream still runs. The registry decides
// which rows the directory holds.

#pragma once

#include "Core/upstream_choice.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace almondmoor {

// An upstream's own entry in service discovery.
struct upstream_record {
    directory_entry entry;
};

struct upstream_registry_settings {
    // After the store became available again, an entry whose row has vanished is kept
    // for this long. Upstreams need this time to write their rows again.
    duration removalGracePeriod = std::chrono::milliseconds(2000);
    // After the store came back from an older copy, the copy may hold the row of an upstream
    // that has left. The store removes such a row within this time, since nobody renews it.
    duration staleRowTtl = std::chrono::milliseconds(5500);
    // Time for which it is remembered that an upstream has left. Copies are younger.
    duration leftTtl = std::chrono::seconds(60);
};

class upstream_registry {
public:
    explicit upstream_registry(upstream_registry_settings settings)
        : m_settings(settings)
    {
    }

    // Adds or replaces an upstream's entry. Drops a record of an earlier start than
    // the known one. Returns whether the record was applied.
    bool apply(const upstream_record&);

    // Applies a row of a store that came back from an older copy. If this host knows that the
    // same start of the upstream is leaving or has left, the row is applied only if it still
    // stands when a stale row would have been removed.
    bool applyFromCopy(const upstream_record&, instant now);

    // Removes the entries whose rows were removed; the caller passes all removals of
    // one reading together. If they are at least half of the directory right after
    // the store was unavailable, the rows may have expired during the outage, and the
    // entries stay until the grace period is over. If they are fewer, the upstreams
    // have left. Returns whether the directory changed.
    bool removeAll(const std::vector<std::string>& ids, instant now);

    // Removes all entries but the given ones, after the whole table was read. Applies
    // the rule of removeAll(). Returns whether the directory changed.
    bool keepOnly(const std::vector<std::string>& ids, instant now);

    // The same after the store came back from an older copy, which lacks the rows that were
    // written since: all entries that are missing stay until the grace period is over.
    bool keepOnlyFromCopy(const std::vector<std::string>& ids, instant now);

    // Records that the store responds again after an outage.
    void recordStoreRecovery(instant now) { m_gracePeriodUntil = now + m_settings.removalGracePeriod; }

    // Removes the entries whose grace period is over, and applies the rows of a copy that
    // turned out not to be stale. Returns whether the directory changed.
    bool expire(instant now);

    const upstream_directory& directory() const { return m_directory; }

private:
    // The start of an upstream that has left, and when this host learned of it.
    struct left_row {
        std::int64_t startedAtUnixMs = 0;
        instant at = distantPast;
    };
    // A row of a copy that may be stale.
    struct withheld_row {
        upstream_record record;
        instant until = distantPast;
    };

    // Returns whether the rows may have expired during an outage of the store.
    bool canHaveExpired(std::size_t count, instant now) const;
    bool isLeavingOrLeft(const upstream_record&) const;
    std::vector<std::string> missingFrom(const std::vector<std::string>& ids) const;
    void erase(const std::string& id, instant now);
    // Returns whether any was applied.
    bool applyWithheld(instant now);

    upstream_registry_settings m_settings;
    upstream_directory m_directory;
    // Latest known start of each upstream, in milliseconds of Unix time.
    std::map<std::string, std::int64_t> m_startedAtUnixMs;
    // Entries whose rows were removed, and until when they are still used.
    std::map<std::string, instant> m_expiring;
    instant m_gracePeriodUntil = distantPast;
    std::map<std::string, left_row> m_left;
    // By the upstream's id.
    std::map<std::string, withheld_row> m_withheld;
};

} // namespace almondmoor
