// The platform's services as the project sees them: a transactional table
// service, an object store, and a lagging list of hosts.
//
// Every call has a deadline and one of four outcomes. "Unknown" means that the
// answer was lost after a possible effect; the caller must read back before it
// claims anything.

#pragma once

#include "Core/name_table.h"

#include <absl/status/status.h>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace almondmoor {

enum class call_outcome {
    Done,
    // A condition did not hold; nothing was written.
    Refused,
    // The call cannot have had an effect.
    Unavailable,
    // The call may have had its effect.
    Unknown
};

inline constexpr name_table<call_outcome, 4> callOutcomeNames { {
    { call_outcome::Done, "done" },
    { call_outcome::Refused, "refused" },
    { call_outcome::Unavailable, "unavailable" },
    { call_outcome::Unknown, "unknown" },
} };

template <typename Value>
struct call_result {
    call_outcome outcome = call_outcome::Unavailable;
    // Meaningful only when the outcome is Done.
    Value value {};
    // Says step and peer when the outcome is not Done.
    absl::Status error;
};

// Stands for the value of calls that return none.
struct no_value {
};

struct table_row {
    std::string key;
    std::string value;
    // Grows with each write of the row.
    std::uint64_t etag = 0;
};

// Holds if the row has the etag, or if it is absent and no etag is given.
struct row_condition {
    std::string key;
    std::optional<std::uint64_t> etag;
};

// Writes the value, or deletes the row if none is given.
struct row_write {
    std::string key;
    std::optional<std::string> value;
};

struct table_transaction {
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
};

struct listed_host {
    std::string name;
    std::string peerAddress;
    std::string dataCentre;
    bool leaving = false;
};

using read_result = call_result<std::vector<std::optional<table_row>>>;

// The seam behind which the users' own services will stand.
template <typename Platform>
concept platform_service = requires(Platform platform, const std::vector<std::string>& keys, const table_transaction& transaction, const std::string& text)
{
    // Reads rows in one consistent view; absent rows come back empty.
    {
        platform.readRows(keys)
        } -> std::same_as<read_result>;
    // Writes all or nothing.
    {
        platform.commit(transaction)
        } -> std::same_as<call_result<no_value>>;
    {
        platform.putObject(text, text)
        } -> std::same_as<call_result<no_value>>;
    {
        platform.getObject(text)
        } -> std::same_as<call_result<std::optional<std::string>>>;
    {
        platform.listHosts()
        } -> std::same_as<call_result<std::vector<listed_host>>>;
};

} // namespace almondmoor
