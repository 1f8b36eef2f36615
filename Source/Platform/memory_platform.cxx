// The platform's tables, objects and host list, kept in maps.

#include "Platform/memory_platform.h"

#include "Core/error.h"

#include <algorithm>

namespace almondmoor {

namespace {

    constexpr const char* platformName = "memory platform";

    template <typename Value>
    call_result<Value> failedCall(call_outcome outcome, absl::StatusCode code, const char* step, const char* detail)
    {
        return call_result<Value> { outcome, Value {}, makeError(code, step, platformName, detail) };
    }

} // namespace

read_result memory_platform::readRows(const std::vector<std::string>& keys)
{
    const std::lock_guard lock(m_mutex);
    ++m_readCount;
    if (m_faults.isUnavailable)
        return failedCall<std::vector<std::optional<table_row>>>(call_outcome::Unavailable, absl::StatusCode::kUnavailable, "read rows", "away");
    read_result result { call_outcome::Done, {}, absl::OkStatus() };
    for (const auto& key : keys) {
        const auto found = m_rows.find(key);
        result.value.push_back(found == m_rows.end() ? std::nullopt : std::optional(found->second));
    }
    return result;
}

bool memory_platform::conditionsHold(const table_transaction& transaction) const
{
    return std::all_of(transaction.conditions.begin(), transaction.conditions.end(), [this](const row_condition& condition) {
        const auto found = m_rows.find(condition.key);
        if (found == m_rows.end())
            return !condition.etag;
        return condition.etag && *condition.etag == found->second.etag;
    });
}

call_result<no_value> memory_platform::commit(const table_transaction& transaction)
{
    const std::lock_guard lock(m_mutex);
    ++m_commitCount;
    if (m_faults.isUnavailable)
        return failedCall<no_value>(call_outcome::Unavailable, absl::StatusCode::kUnavailable, "commit", "away");
    if (!conditionsHold(transaction))
        return failedCall<no_value>(call_outcome::Refused, absl::StatusCode::kAborted, "commit", "a condition does not hold");
    for (const auto& write : transaction.writes) {
        if (write.value)
            m_rows[write.key] = table_row { write.key, *write.value, m_nextEtag++ };
        else
            m_rows.erase(write.key);
    }
    if (m_faults.lostResponses > 0) {
        --m_faults.lostResponses;
        return failedCall<no_value>(call_outcome::Unknown, absl::StatusCode::kDeadlineExceeded, "commit", "the answer was lost");
    }
    return { call_outcome::Done, {}, absl::OkStatus() };
}

call_result<no_value> memory_platform::putObject(const std::string& name, const std::string& content)
{
    const std::lock_guard lock(m_mutex);
    if (m_faults.isUnavailable)
        return failedCall<no_value>(call_outcome::Unavailable, absl::StatusCode::kUnavailable, "put object", "away");
    m_objects[name] = content;
    return { call_outcome::Done, {}, absl::OkStatus() };
}

call_result<std::optional<std::string>> memory_platform::getObject(const std::string& name)
{
    const std::lock_guard lock(m_mutex);
    if (m_faults.isUnavailable)
        return failedCall<std::optional<std::string>>(call_outcome::Unavailable, absl::StatusCode::kUnavailable, "get object", "away");
    const auto found = m_objects.find(name);
    std::optional<std::string> content;
    if (found != m_objects.end())
        content = found->second;
    return { call_outcome::Done, content, absl::OkStatus() };
}

call_result<std::vector<listed_host>> memory_platform::listHosts()
{
    const std::lock_guard lock(m_mutex);
    call_result<std::vector<listed_host>> result { call_outcome::Done, {}, absl::OkStatus() };
    for (const auto& [name, entry] : m_hosts)
        result.value.push_back(entry);
    return result;
}

void memory_platform::setHost(const listed_host& entry)
{
    const std::lock_guard lock(m_mutex);
    m_hosts[entry.name] = entry;
}

void memory_platform::removeHost(const std::string& name)
{
    const std::lock_guard lock(m_mutex);
    m_hosts.erase(name);
}

void memory_platform::setFaults(const platform_faults& faults)
{
    const std::lock_guard lock(m_mutex);
    m_faults = faults;
}

std::uint64_t memory_platform::readCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_readCount;
}

std::uint64_t memory_platform::commitCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_commitCount;
}

} // namespace almondmoor
