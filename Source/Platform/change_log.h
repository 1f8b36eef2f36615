// The log of configuration changes in the platform's table service.
//
//   config/head            version of the newest change
//   config/change/VERSION  the change as JSON
//   config/id/ID           version under which the change with an id was accepted
//   config/snapshot        version of the newest snapshot in the object store
//
// Accepting a change is one transaction on the head. A lost answer is resolved
// by reading the change's id back.

#pragma once

#include "Core/configuration.h"
#include "Core/error.h"
#include "Platform/platform_types.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

namespace almondmoor {

std::string writeChange(const change&);

// Throws Poco::Exception on text of another shape.
change parseChange(const std::string& text);

// What a read of the log found.
struct log_read {
    config_version head = 0;
    std::vector<change> changes;
    // True if the changes asked for are no longer in the log.
    bool needsSnapshot = false;
};

// How an attempt to append a change ended.
enum class append_outcome {
    Accepted,
    // The head was another than the change was decided on.
    Conflict,
    // Nothing was written and nothing will be.
    Unavailable,
    // It may be in the log or may yet get there; ask again by its id.
    Unknown
};

struct append_result {
    append_outcome outcome = append_outcome::Unavailable;
    config_version version = 0;
    absl::Status error;
};

template <platform_service Platform>
class change_log {
public:
    explicit change_log(Platform& platform)
        : m_platform(platform)
    {
    }

    // Reads the head and at most a batch of the changes after a version.
    call_result<log_read> readAfter(config_version after)
    {
        std::vector<std::string> keys { headKey, snapshotKey };
        for (config_version version = after + 1; version <= after + readAhead; ++version)
            keys.push_back(changeKey(version));
        const auto rows = m_platform.readRows(keys);
        if (rows.outcome != call_outcome::Done)
            return { rows.outcome, {}, rows.error };
        log_read found;
        if (rows.value[0])
            (void)absl::SimpleAtoi(rows.value[0]->value, &found.head);
        for (std::size_t index = 2; index < rows.value.size() && rows.value[index]; ++index)
            found.changes.push_back(parseChange(rows.value[index]->value));
        found.needsSnapshot = found.head > after && found.changes.empty();
        return { call_outcome::Done, std::move(found), absl::OkStatus() };
    }

    // Appends a change whose version follows the version it was decided on.
    append_result append(const change& it)
    {
        const config_version before = it.version - 1;
        for (unsigned attempt = 0; attempt < appendAttempts; ++attempt) {
            const auto rows = m_platform.readRows({ headKey, idKey(it.id) });
            if (rows.outcome != call_outcome::Done)
                return failedRead(attempt, rows.error);
            if (rows.value[1]) {
                append_result result { append_outcome::Accepted, 0, absl::OkStatus() };
                (void)absl::SimpleAtoi(rows.value[1]->value, &result.version);
                return result;
            }
            config_version head = 0;
            if (rows.value[0])
                (void)absl::SimpleAtoi(rows.value[0]->value, &head);
            if (head != before) {
                const auto detail = absl::StrCat("the head is version ", head, ", the change was decided on version ", before);
                return { append_outcome::Conflict, head, makeError(absl::StatusCode::kAborted, "append change", "", detail) };
            }
            const auto committed = m_platform.commit(transactionFor(it, rows.value[0]));
            if (committed.outcome == call_outcome::Done)
                return { append_outcome::Accepted, it.version, absl::OkStatus() };
            if (committed.outcome == call_outcome::Unavailable && attempt == 0)
                return { append_outcome::Unavailable, 0, committed.error };
            // Refused may mean a racing change or our own first copy, and
            // unknown either way: the next round reads back which.
        }
        return { append_outcome::Unknown, 0, makeError(absl::StatusCode::kUnknown, "append change", "", "its answers were lost") };
    }

    // Returns the version under which a change was accepted, or zero.
    call_result<config_version> versionOf(const std::string& id)
    {
        const auto rows = m_platform.readRows({ idKey(id) });
        call_result<config_version> result { rows.outcome, 0, rows.error };
        if (rows.outcome == call_outcome::Done && rows.value[0])
            (void)absl::SimpleAtoi(rows.value[0]->value, &result.value);
        return result;
    }

    // Stores a snapshot; a later one never gives way to an earlier one.
    call_result<no_value> writeSnapshot(const configuration& held)
    {
        const std::string name = snapshotName(held.version());
        auto put = m_platform.putObject(name, absl::StrJoin(held.snapshotCommands(), "\n"));
        if (put.outcome != call_outcome::Done)
            return put;
        const auto rows = m_platform.readRows({ snapshotKey });
        if (rows.outcome != call_outcome::Done)
            return { rows.outcome, {}, rows.error };
        config_version present = 0;
        table_transaction transaction;
        transaction.conditions.push_back(row_condition { snapshotKey, std::nullopt });
        if (rows.value[0]) {
            (void)absl::SimpleAtoi(rows.value[0]->value, &present);
            transaction.conditions[0].etag = rows.value[0]->etag;
        }
        if (present >= held.version())
            return { call_outcome::Done, {}, absl::OkStatus() };
        transaction.writes.push_back(row_write { snapshotKey, absl::StrCat(held.version()) });
        return m_platform.commit(transaction);
    }

    // Reads the newest snapshot.
    call_result<configuration> readSnapshot()
    {
        const auto rows = m_platform.readRows({ snapshotKey });
        if (rows.outcome != call_outcome::Done)
            return { rows.outcome, {}, rows.error };
        config_version version = 0;
        if (!rows.value[0] || !absl::SimpleAtoi(rows.value[0]->value, &version))
            return { call_outcome::Refused, {}, makeError(absl::StatusCode::kNotFound, "read snapshot", "", "there is none") };
        const auto object = m_platform.getObject(snapshotName(version));
        if (object.outcome != call_outcome::Done || !object.value)
            return { call_outcome::Unavailable, {}, makeError(absl::StatusCode::kUnavailable, "read snapshot", "", "the object is missing") };
        const std::vector<std::string> lines = absl::StrSplit(*object.value, '\n', absl::SkipEmpty());
        auto parsed = configuration::fromSnapshot(version, lines);
        if (!parsed.ok())
            return { call_outcome::Refused, {}, parsed.status() };
        return { call_outcome::Done, *std::move(parsed), absl::OkStatus() };
    }

private:
    static constexpr const char* headKey = "config/head";
    static constexpr const char* snapshotKey = "config/snapshot";
    static constexpr config_version readAhead = 16;
    static constexpr unsigned appendAttempts = 4;

    static std::string changeKey(config_version version) { return absl::StrCat("config/change/", version); }
    static std::string idKey(const std::string& id) { return absl::StrCat("config/id/", id); }
    static std::string snapshotName(config_version version) { return absl::StrCat("config-snapshot-", version); }

    static append_result failedRead(unsigned attempt, const absl::Status& error)
    {
        return { attempt == 0 ? append_outcome::Unavailable : append_outcome::Unknown, 0, error };
    }

    static table_transaction transactionFor(const change& it, const std::optional<table_row>& head)
    {
        table_transaction transaction;
        transaction.conditions.push_back(row_condition { headKey, head ? std::optional(head->etag) : std::nullopt });
        transaction.conditions.push_back(row_condition { idKey(it.id), std::nullopt });
        transaction.writes.push_back(row_write { headKey, absl::StrCat(it.version) });
        transaction.writes.push_back(row_write { changeKey(it.version), writeChange(it) });
        transaction.writes.push_back(row_write { idKey(it.id), absl::StrCat(it.version) });
        return transaction;
    }

    Platform& m_platform;
};

} // namespace almondmoor
