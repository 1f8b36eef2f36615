// Interface to a store of rows in named tables whose changes can be followed. The adapter of the users' platform and
// the stores of the tests implement the interface.

#pragma once

#include "Core/core_time.h"
#include "Core/name_table.h"
#include "Core/store_position.h"

#include <absl/status/status.h>
#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

namespace almondmoor {

struct stored_row {
    std::string key;
    std::string value;
    // Version of the store at which the row last changed.
    std::uint64_t version = 0;
    // True if the row was removed; the value is then empty.
    bool isRemoved = false;
};

// Result of a call to the store.
enum class store_result {
    Done,
    // The store has discarded the change history that the call needs; the caller must read the full table.
    HistoryGone,
    // A condition of the write does not hold.
    Conflict,
    // The store responded that it did nothing: it is overloaded, out of service or out of space.
    Refused,
    // No connection could be made, so nothing was done.
    Unreachable,
    // The response was lost; a write may have been done or may still be done.
    Unknown,
    // The response could not be parsed.
    BadResponse
};

inline constexpr name_table<store_result, 7> storeResultNames { {
    { store_result::Done, "done" },
    { store_result::HistoryGone, "history-gone" },
    { store_result::Conflict, "conflict" },
    { store_result::Refused, "refused" },
    { store_result::Unreachable, "unreachable" },
    { store_result::Unknown, "unknown" },
    { store_result::BadResponse, "bad-answer" },
} };

struct store_response {
    store_result result = store_result::Unreachable;
    std::vector<stored_row> rows;
    // Position in the store up to which the rows are complete; the next read of changes continues from here.
    store_position position;
    absl::Status error;
};

// Rows from one read of a table.
struct table_update {
    // True if the rows are the full table; all other rows no longer exist.
    bool isFullTable = false;
    // True if this is the first successful read after the store could not be read.
    bool isFirstAfterOutage = false;
    std::vector<stored_row> rows;
    // The rows are the changes after the position `after` and up to and including `position`, which is of the same era. If
    // isFullTable is set, `after` does not limit the rows.
    store_position after;
    store_position position;
    // True if the rows are the full table of a store that came back from an older copy: rows that were known may be
    // missing, and rows that were removed may be back, until their writers have written again.
    bool isRewound = false;
};

template <typename Store>
concept table_store = requires(Store store, const std::string& text, std::uint64_t version, duration maxWait)
{
    // Reads all rows of a table.
    {
        store.readTable(text)
        } -> std::same_as<store_response>;
    // Returns the changes after a version, waiting for them for at most the given time.
    {
        store.readChanges(text, version, maxWait)
        } -> std::same_as<store_response>;
    // Writes one row of a table, regardless of its present value.
    {
        store.writeRow(text, text, text)
        } -> std::same_as<store_response>;
};

} // namespace almondmoor
