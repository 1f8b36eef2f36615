// The users' platform's metadata store as their pages describe it, for tests,
// with switches for its faults.

#pragma once

#include "http_listener.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace almondmoor {

// What the store does wrong.
struct store_faults {
    // Status of all answers; zero for none.
    int refusal = 0;
    // Takes calls and never answers.
    bool isSilent = false;
    // Resets each connection.
    bool resets = false;
    // Performs the next writes and loses their answers.
    unsigned lostAnswers = 0;
    // Time by which each answer comes late.
    duration delay {};
    // Serves no caller but those with these IP numbers, unless empty.
    std::set<std::string> served;
};

class stand_in_store {
public:
    // Serves on IP-NUMBER:PORT.
    explicit stand_in_store(const std::string& address);
    ~stand_in_store();

    stand_in_store(const stand_in_store&) = delete;
    stand_in_store& operator=(const stand_in_store&) = delete;

    void setFaults(const store_faults&);

    // Writes or removes a row as the operator or an upstream would.
    void write(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);

    // Forgets all history, so that every feed must begin anew.
    void compact();

    // Returns the value of a row, or an empty string.
    std::string value(const std::string& table, const std::string& key) const;

    // Returns how many calls came, refused ones included.
    std::size_t callCount() const;

    // Waits until a number of calls came in all. Returns false if they did not
    // within the timeout.
    bool waitForCalls(std::size_t count, duration timeout);

private:
    struct row {
        std::string value;
        std::uint64_t version = 0;
        bool isRemoved = false;
    };
    using table_rows = std::map<std::string, row>;

    connection_disposition serve(http_exchange&);
    connection_disposition reply(http_exchange&, int status, const std::string& body) const;
    std::string rowsBody(const std::vector<std::pair<std::string, row>>&, const std::string& table, bool hasMore) const;
    int get(const std::map<std::string, std::string>& query, std::string& body);
    int feed(const std::map<std::string, std::string>& query, std::string& body);
    int transact(const std::string& text, std::string& body);

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    store_faults m_faults;
    std::map<std::string, table_rows> m_tables;
    std::uint64_t m_version = 0;
    // Versions before this one have no history any more.
    std::uint64_t m_historyFrom = 0;
    std::size_t m_calls = 0;
    bool m_isStopping = false;
    std::unique_ptr<http_listener> m_listener;
};

} // namespace almondmoor
