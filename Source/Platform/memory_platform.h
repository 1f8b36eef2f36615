// The platform's services in memory, for a fleet of one and for tests.

#pragma once

#include "Platform/platform_types.h"

#include <map>
#include <mutex>

namespace almondmoor {

// Faults that a test or the stand-in switches on.
struct platform_faults {
    // Every call fails before it has an effect.
    bool isAway = false;
    // Commits take effect, and their answers are lost. Counts down.
    unsigned lostAnswers = 0;
};

// All members may be called from any thread.
class memory_platform {
public:
    read_result readRows(const std::vector<std::string>& keys);
    call_result<no_value> commit(const table_transaction&);
    call_result<no_value> putObject(const std::string& name, const std::string& content);
    call_result<std::optional<std::string>> getObject(const std::string& name);
    call_result<std::vector<listed_host>> listHosts();

    // Puts a host on the list, or changes its entry.
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
    std::uint64_t m_reads = 0;
    std::uint64_t m_commits = 0;
};

static_assert(platform_service<memory_platform>);

} // namespace almondmoor
