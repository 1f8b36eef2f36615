// Interface to the platform's services: a transactional table service, an object store, and a list of hosts, which may
// be out of date.
//
// Every call has a deadline and one of four outcomes. Unknown means that the response was lost and the call may have
// had its effect; the caller must read the data back before it reports success or failure.

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
    // A condition of the transaction did not hold; nothing was written.
    Refused,
    // The call failed and certainly had no effect.
    Unavailable,
    // The call failed but may have had its effect.
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
    // Valid only if the outcome is Done.
    Value value {};
    // Names the failed step and the service that was called, if the outcome is not Done.
    absl::Status error;
};

// Value type of calls that return no value.
struct no_value {
};

struct table_row {
    std::string key;
    std::string value;
    // Increases with each write of the row.
    std::uint64_t etag = 0;
};

// Condition that a row has this etag or, without an etag, that the row does not exist.
struct row_condition {
    std::string key;
    std::optional<std::uint64_t> etag;
};

// Write of a value to a row or, without a value, deletion of the row.
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

// What an implementation of the platform's services must provide.
template <typename Platform>
concept platform_service = requires(Platform platform, const std::vector<std::string>& keys, const table_transaction& transaction, const std::string& text)
{
    // Reads rows from one consistent snapshot, in the order of the keys. A row that does not exist yields nullopt.
    {
        platform.readRows(keys)
        } -> std::same_as<read_result>;
    // Writes all rows of the transaction or, if one of its conditions does not hold, none.
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
