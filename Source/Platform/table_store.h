// A store of rows in named tables whose changes can be followed, as the product
// needs it. The users' platform provides one; tests provide others.

#pragma once

#include "Core/core_time.h"
#include "Core/name_table.h"

#include <absl/status/status.h>
#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

namespace almondmoor {

struct stored_row {
    std::string key;
    std::string value;
    // Version of the store at which the row was last changed.
    std::uint64_t version = 0;
    // True for a row that was removed; it has no value.
    bool isRemoved = false;
};

// How a call to the store ended.
enum class store_end {
    Done,
    // The history that a change feed needs was discarded; read the table whole.
    HistoryGone,
    // A condition of a write does not hold.
    Conflict,
    // The store said that it did nothing: overload, outage or no space.
    Refused,
    // No connection, so nothing was done.
    Unreachable,
    // The answer was lost; a write may have been done or may still be.
    Unknown,
    // The answer could not be understood.
    BadAnswer
};

inline constexpr name_table<store_end, 7> storeEndNames { {
    { store_end::Done, "done" },
    { store_end::HistoryGone, "history-gone" },
    { store_end::Conflict, "conflict" },
    { store_end::Refused, "refused" },
    { store_end::Unreachable, "unreachable" },
    { store_end::Unknown, "unknown" },
    { store_end::BadAnswer, "bad-answer" },
} };

struct store_reading {
    store_end end = store_end::Unreachable;
    std::vector<stored_row> rows;
    // Version of the store from which to continue.
    std::uint64_t version = 0;
    absl::Status error;
};

// What one reading brought.
struct table_update {
    // True if the rows are all rows of the table, and others are gone.
    bool isWhole = false;
    // True if this is the first reading after the store could not be read.
    bool wasAway = false;
    std::vector<stored_row> rows;
    // The rows hold what changed after one version and up to another.
    std::uint64_t after = 0;
    std::uint64_t version = 0;
};

template <typename Store>
concept table_store = requires(Store store, const std::string& text, std::uint64_t version, duration wait)
{
    // Reads all rows of a table.
    {
        store.readTable(text)
        } -> std::same_as<store_reading>;
    // Waits for changes after a version, up to a time.
    {
        store.readChanges(text, version, wait)
        } -> std::same_as<store_reading>;
    // Writes one row of a table whatever it held before.
    {
        store.writeRow(text, text, text)
        } -> std::same_as<store_reading>;
};

} // namespace almondmoor
