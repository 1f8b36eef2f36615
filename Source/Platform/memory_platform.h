// The platform's services in the memory of the process, for a fleet of one host and for tests.

#pragma once

#include "Platform/platform_types.h"

#include <map>
#include <mutex>

namespace almondmoor {

// Faults that a test or the stand-in platform injects.
struct platform_faults {
    // All calls except listHosts() fail and have no effect.
    bool isUnavailable = false;
    // Number of further commits that take effect but whose responses are lost.
    unsigned lostResponses = 0;
};

// All member functions may be called from any thread.
class memory_platform {
public:
    read_result readRows(const std::vector<std::string>& keys);
    call_result<no_value> commit(const table_transaction&);
    call_result<no_value> putObject(const std::string& name, const std::string& content);
    call_result<std::optional<std::string>> getObject(const std::string& name);
    call_result<std::vector<listed_host>> listHosts();

    // Adds a host to the list or replaces its entry.
    void setHost(const listed_host&);
    void removeHost(const std::string& name);
    void setFaults(const platform_faults&);

    std::uint64_t readCount() const;
    std::uint64_t commitCount() const;

private:
    bool conditionsHold(const table_transaction&) const;

    mutable std::mutex m_mutex;
    platform_faults m_faults;
    std::map<std::string, table_row> m_rows;
    std::map<std::string, std::string> m_objects;
    std::map<std::string, listed_host> m_hosts;
    std::uint64_t m_nextEtag = 1;
    std::uint64_t m_readCount = 0;
    std::uint64_t m_commitCount = 0;
};

static_assert(platform_service<memory_platform>);

} // namespace almondmoor
