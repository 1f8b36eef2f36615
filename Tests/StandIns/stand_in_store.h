// A stand-in for the metadata store of the users' platform in tests. It implements the documented protocol of the store
// and can inject faults.

#pragma once

#include "http_listener.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace almondmoor {

// Faults that the store injects into calls.
struct store_faults {
    // HTTP status with which all calls are refused, or zero to refuse none.
    int refusalStatus = 0;
    // Accepts calls and never sends a response.
    bool isSilent = false;
    // Resets the connection of each call.
    bool resetsConnections = false;
    // Number of the next writes that take effect but whose responses are not sent.
    unsigned lostResponses = 0;
    // Time by which each response is delayed.
    duration delay {};
    // IP numbers of the callers that are served; the connections of others are reset. If empty, all are served.
    std::set<std::string> allowedCallers;
};

class stand_in_store {
public:
    // Serves on IP-NUMBER:PORT.
    explicit stand_in_store(const std::string& address);
    ~stand_in_store();

    stand_in_store(const stand_in_store&) = delete;
    stand_in_store& operator=(const stand_in_store&) = delete;

    void setFaults(const store_faults&);

    // Writes or removes a row as an operator or an upstream would, also in tables that hosts may not write.
    void write(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);

    // Discards the change history, so that followers must read the tables whole again.
    void compact();

    // Keeps a copy of all rows, from which comeBackFromCopy() goes on: all that was written since is gone, its versions are
    // given out again, and the era, which is told in all responses, rises by one.
    void takeCopy();
    void comeBackFromCopy();

    // Returns the value of a row, or an empty string.
    std::string value(const std::string& table, const std::string& key) const;

    // Returns the number of calls received, including refused ones.
    std::size_t callCount() const;

    // Waits until the total number of received calls reaches a count. Returns false on timeout.
    bool waitForCalls(std::size_t count, duration timeout);

private:
    struct row {
        std::string value;
        std::uint64_t version = 0;
        bool isRemoved = false;
    };
    using table_rows = std::map<std::string, row>;

    connection_disposition serve(http_exchange&);
    connection_disposition sendResponse(http_exchange&, int status, const std::string& body) const;
    std::string rowsBody(const std::vector<std::pair<std::string, row>>&, const std::string& table, bool hasMore) const;
    int readRows(const std::map<std::string, std::string>& query, std::string& body);
    int readChanges(const std::map<std::string, std::string>& query, std::string& body);
    int transact(const std::string& text, std::string& body);

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    store_faults m_faults;
    std::map<std::string, table_rows> m_tables;
    std::uint64_t m_version = 0;
    std::atomic<std::uint64_t> m_era { 1 };
    std::map<std::string, table_rows> m_copiedTables;
    std::uint64_t m_copiedVersion = 0;
    // Changes can be read from this version on; the history before it was discarded.
    std::uint64_t m_oldestHistoryVersion = 0;
    std::size_t m_calls = 0;
    bool m_isStopping = false;
    std::unique_ptr<http_listener> m_listener;
};

} // namespace almondmoor
