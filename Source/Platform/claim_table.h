// Claims that let a request which may not be repeated run at most once in the
// whole fleet.
//
// A claim is a row under the request's identity, inserted before the dispatch
// on the condition that there is none. A lost answer is resolved by reading the
// row back and comparing the attempt's id.

#pragma once

#include "Core/name_table.h"
#include "Platform/platform_types.h"

namespace almondmoor {

enum class claim_outcome {
    // This attempt, and no other, may dispatch.
    Claimed,
    // Another attempt holds the claim.
    Taken,
    // No claim can be had now; this attempt must not dispatch.
    Unavailable
};

inline constexpr name_table<claim_outcome, 3> claimOutcomeNames { {
    { claim_outcome::Claimed, "claimed" },
    { claim_outcome::Taken, "taken" },
    { claim_outcome::Unavailable, "unavailable" },
} };

template <platform_service Platform>
class claim_table {
public:
    explicit claim_table(Platform& platform)
        : m_platform(platform)
    {
    }

    // Claims an identity for an attempt. The attempt's id is unique.
    claim_outcome claim(const std::string& identity, const std::string& attemptId)
    {
        table_transaction transaction;
        transaction.conditions.push_back(row_condition { keyOf(identity), std::nullopt });
        transaction.writes.push_back(row_write { keyOf(identity), attemptId });
        const auto committed = m_platform.commit(transaction);
        switch (committed.outcome) {
        case call_outcome::Done:
            return claim_outcome::Claimed;
        case call_outcome::Refused:
            return claim_outcome::Taken;
        case call_outcome::Unavailable:
            return claim_outcome::Unavailable;
        case call_outcome::Unknown:
            return readBack(identity, attemptId);
        }
        return claim_outcome::Unavailable;
    }

    // Gives up the claim of an attempt that was surely not run, so that the
    // guest may send again. Returns whether the claim is surely gone.
    bool release(const std::string& identity, const std::string& attemptId)
    {
        const auto rows = m_platform.readRows({ keyOf(identity) });
        if (rows.outcome != call_outcome::Done)
            return false;
        if (!rows.value[0] || rows.value[0]->value != attemptId)
            return true;
        table_transaction transaction;
        transaction.conditions.push_back(row_condition { keyOf(identity), rows.value[0]->etag });
        transaction.writes.push_back(row_write { keyOf(identity), std::nullopt });
        return m_platform.commit(transaction).outcome == call_outcome::Done;
    }

private:
    static std::string keyOf(const std::string& identity) { return "claim/" + identity; }

    claim_outcome readBack(const std::string& identity, const std::string& attemptId)
    {
        const auto rows = m_platform.readRows({ keyOf(identity) });
        // While the row is absent the lost insert may still arrive. It then
        // claims for an attempt that never dispatches, which is safe.
        if (rows.outcome != call_outcome::Done || !rows.value[0])
            return claim_outcome::Unavailable;
        return rows.value[0]->value == attemptId ? claim_outcome::Claimed : claim_outcome::Taken;
    }

    Platform& m_platform;
};

} // namespace almondmoor
