// Claims ensure that a request that is not idempotent is executed at most once in the whole fleet.
//
// A claim is a row whose key is the request's identity and whose value is the attempt's id. It is inserted before the
// request is dispatched, on the condition that no such row exists. If the response to the insert is lost, the row is
// read back and its value compared with the attempt's id.

#pragma once

#include "Core/name_table.h"
#include "Platform/platform_types.h"

namespace almondmoor {

enum class claim_outcome {
    // This attempt, and no other, may dispatch the request.
    Claimed,
    // Another attempt holds the claim.
    Taken,
    // The claim could not be made or confirmed; this attempt must not dispatch the request.
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

    // Claims a request's identity for an attempt. The attempt's id must be unique.
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

    // Deletes the claim of an attempt that was certainly not executed, so that the client can send the request again.
    // Returns true if the attempt certainly holds no claim any more.
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
        // If the row does not exist, the insert may still arrive later. It then makes a claim for an attempt that is
        // never dispatched, which is safe.
        if (rows.outcome != call_outcome::Done || !rows.value[0])
            return claim_outcome::Unavailable;
        return rows.value[0]->value == attemptId ? claim_outcome::Claimed : claim_outcome::Taken;
    }

    Platform& m_platform;
};

} // namespace almondmoor
