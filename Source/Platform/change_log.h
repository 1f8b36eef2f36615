// The log of configuration changes in the platform's table service.
//
//   config/head            version of the latest change
//   config/change/VERSION  the change as JSON
//   config/id/ID           version under which the change with this id was accepted
//   config/snapshot        version of the latest snapshot in the object store
//
// A change is appended in one transaction, on the condition that the head has not changed. If the response to the
// transaction is lost, a read of the row under the change's id shows whether the change was accepted.

#pragma once

#include "Core/configuration.h"
#include "Core/error.h"
#include "Platform/platform_types.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

namespace almondmoor {

std::string serializeChange(const change&);

// Throws Poco::Exception if the text is not a change as serializeChange() writes it.
change parseChange(const std::string& text);

// Result of change_log::readAfter().
struct log_read_result {
    config_version head = 0;
    std::vector<change> changes;
    // True if the requested changes are no longer in the log, so the caller must read a snapshot.
    bool needsSnapshot = false;
};

// Outcome of an attempt to append a change.
enum class append_outcome {
    Accepted,
    // The head of the log is not the version that the change was decided on.
    Conflict,
    // Nothing was written, and no write is pending.
    Unavailable,
    // The change may be in the log or may still be written; look the change up by its id later.
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

    // Reads the head and the first changes after a version, up to maxChangesPerRead of them.
    call_result<log_read_result> readAfter(config_version after)
    {
        std::vector<std::string> keys { headKey, snapshotKey };
        for (config_version version = after + 1; version <= after + maxChangesPerRead; ++version)
            keys.push_back(changeKey(version));
        const auto rows = m_platform.readRows(keys);
        if (rows.outcome != call_outcome::Done)
            return { rows.outcome, {}, rows.error };
        log_read_result found;
        if (rows.value[0])
            (void)absl::SimpleAtoi(rows.value[0]->value, &found.head);
        for (std::size_t index = 2; index < rows.value.size() && rows.value[index]; ++index)
            found.changes.push_back(parseChange(rows.value[index]->value));
        found.needsSnapshot = found.head > after && found.changes.empty();
        return { call_outcome::Done, std::move(found), absl::OkStatus() };
    }

    // Appends a change. Its version must be the successor of the version that the change was decided on. The
    // result holds the version of the change if it was accepted, and the version of the head after a conflict.
    append_result append(const change& newChange)
    {
        const config_version expectedHead = newChange.version - 1;
        for (unsigned attempt = 0; attempt < maxAppendAttempts; ++attempt) {
            const auto rows = m_platform.readRows({ headKey, idKey(newChange.id) });
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
            if (head != expectedHead) {
                const auto detail = absl::StrCat("the head is version ", head, ", the change was decided on version ", expectedHead);
                return { append_outcome::Conflict, head, makeError(absl::StatusCode::kAborted, "append change", "", detail) };
            }
            const auto committed = m_platform.commit(makeAppendTransaction(newChange, rows.value[0]));
            if (committed.outcome == call_outcome::Done)
                return { append_outcome::Accepted, newChange.version, absl::OkStatus() };
            if (committed.outcome == call_outcome::Unavailable && attempt == 0)
                return { append_outcome::Unavailable, 0, committed.error };
            // Refused may mean that a concurrent change won or that the first copy of this change was committed, and
            // Unknown leaves both open. The next iteration reads the rows again to find out.
        }
        return { append_outcome::Unknown, 0, makeError(absl::StatusCode::kUnknown, "append change", "", "its answers were lost") };
    }

    // Returns the version under which the change with this id was accepted, or 0 if there is no such change.
    call_result<config_version> acceptedVersionOf(const std::string& id)
    {
        const auto rows = m_platform.readRows({ idKey(id) });
        call_result<config_version> result { rows.outcome, 0, rows.error };
        if (rows.outcome == call_outcome::Done && rows.value[0])
            (void)absl::SimpleAtoi(rows.value[0]->value, &result.value);
        return result;
    }

    // Stores a snapshot of the configuration. A snapshot of an older version never replaces one of a newer version.
    call_result<no_value> writeSnapshot(const configuration& current)
    {
        const std::string name = snapshotName(current.version());
        auto put = m_platform.putObject(name, absl::StrJoin(current.snapshotCommands(), "\n"));
        if (put.outcome != call_outcome::Done)
            return put;
        const auto rows = m_platform.readRows({ snapshotKey });
        if (rows.outcome != call_outcome::Done)
            return { rows.outcome, {}, rows.error };
        config_version storedVersion = 0;
        table_transaction transaction;
        transaction.conditions.push_back(row_condition { snapshotKey, std::nullopt });
        if (rows.value[0]) {
            (void)absl::SimpleAtoi(rows.value[0]->value, &storedVersion);
            transaction.conditions[0].etag = rows.value[0]->etag;
        }
        if (storedVersion >= current.version())
            return { call_outcome::Done, {}, absl::OkStatus() };
        transaction.writes.push_back(row_write { snapshotKey, absl::StrCat(current.version()) });
        return m_platform.commit(transaction);
    }

    // Reads the latest snapshot.
    call_result<configuration> readSnapshot()
    {
        const auto rows = m_platform.readRows({ snapshotKey });
        if (rows.outcome != call_outcome::Done)
            return { rows.outcome, {}, rows.error };
        config_version version = 0;
        if (!rows.value[0] || !absl::SimpleAtoi(rows.value[0]->value, &version))
            return { call_outcome::Refused, {}, makeError(absl::StatusCode::kNotFound, "read snapshot", "", "no snapshot exists") };
        const auto object = m_platform.getObject(snapshotName(version));
        if (object.outcome != call_outcome::Done || !object.value)
            return { call_outcome::Unavailable, {}, makeError(absl::StatusCode::kUnavailable, "read snapshot", "", "the snapshot's object cannot be read") };
        const std::vector<std::string> lines = absl::StrSplit(*object.value, '\n', absl::SkipEmpty());
        auto parsed = configuration::fromSnapshot(version, lines);
        if (!parsed.ok())
            return { call_outcome::Refused, {}, parsed.status() };
        return { call_outcome::Done, *std::move(parsed), absl::OkStatus() };
    }

private:
    static constexpr const char* headKey = "config/head";
    static constexpr const char* snapshotKey = "config/snapshot";
    static constexpr config_version maxChangesPerRead = 16;
    static constexpr unsigned maxAppendAttempts = 4;

    static std::string changeKey(config_version version) { return absl::StrCat("config/change/", version); }
    static std::string idKey(const std::string& id) { return absl::StrCat("config/id/", id); }
    static std::string snapshotName(config_version version) { return absl::StrCat("config-snapshot-", version); }

    static append_result failedRead(unsigned attempt, const absl::Status& error)
    {
        return { attempt == 0 ? append_outcome::Unavailable : append_outcome::Unknown, 0, error };
    }

    static table_transaction makeAppendTransaction(const change& newChange, const std::optional<table_row>& head)
    {
        table_transaction transaction;
        transaction.conditions.push_back(row_condition { headKey, head ? std::optional(head->etag) : std::nullopt });
        transaction.conditions.push_back(row_condition { idKey(newChange.id), std::nullopt });
        transaction.writes.push_back(row_write { headKey, absl::StrCat(newChange.version) });
        transaction.writes.push_back(row_write { changeKey(newChange.version), serializeChange(newChange) });
        transaction.writes.push_back(row_write { idKey(newChange.id), absl::StrCat(newChange.version) });
        return transaction;
    }

    Platform& m_platform;
};

} // namespace almondmoor
