// A stand-in of the platform for the second review: its metadata store, and the start and end of the proxies.

#pragma once

#include "http_wire.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

// Returns the texts one behind the other.
std::string joined(std::initializer_list<std::string_view> texts);

// Returns the seconds since the start of the case.
double secondsSinceStart();

// Writes lines with their time to the case's record.
class case_record {
public:
    explicit case_record(const std::string& path);
    ~case_record();

    case_record(const case_record&) = delete;
    case_record& operator=(const case_record&) = delete;

    void add(const std::string& line);

private:
    std::mutex m_mutex;
    int m_descriptor;
};

// The metadata store: rows-get, rows-feed and rows-tx. A row belongs to a part of its table, mostly to the empty one.
class metadata_store {
public:
    explicit metadata_store(case_record&);
    ~metadata_store();

    metadata_store(const metadata_store&) = delete;
    metadata_store& operator=(const metadata_store&) = delete;

    std::uint16_t port() const { return m_port; }
    // Writes a row and returns its version.
    std::uint64_t write(const std::string& table, const std::string& part, const std::string& key, const std::string& value);

private:
    struct stored_row {
        std::string value;
        std::uint64_t version = 0;
    };
    // By part and key.
    using row_map = std::map<std::pair<std::string, std::string>, stored_row>;

    void acceptCalls();
    void serve(int descriptor);
    std::string answer(const http_message& request);
    std::string rowsFrom(const std::map<std::string, std::string>& query);
    std::string changesAfter(const std::map<std::string, std::string>& query);
    std::string transact(const std::string& body);
    std::string page(const std::string& table, const std::vector<std::pair<std::pair<std::string, std::string>, stored_row>>& rows) const;

    case_record& m_record;
    std::uint16_t m_port = 0;
    int m_listener;
    std::atomic<bool> m_isStopping { false };
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, row_map> m_tables;
    std::uint64_t m_version = 0;
    std::thread m_acceptor;
};

// One process of the program, started with the command and the settings of the deploy file.
class proxy_process {
public:
    proxy_process(const std::string& name, std::uint16_t storePort, case_record&);
    ~proxy_process();

    proxy_process(const proxy_process&) = delete;
    proxy_process& operator=(const proxy_process&) = delete;

    // Waits until the readiness check answers 200.
    bool waitUntilReady() const;
    // Stops the process as the platform does, with SIGTERM and after grace_s with SIGKILL, and starts it again.
    void restart();
    std::uint16_t front() const { return m_front; }
    const std::string& name() const { return m_name; }

private:
    void start(bool isFirstStart);

    case_record& m_record;
    std::string m_name;
    std::uint16_t m_storePort;
    std::uint16_t m_front;
    std::uint16_t m_readiness;
    std::uint16_t m_peer;
    std::uint16_t m_metrics;
    pid_t m_process = -1;
};

// Returns the row of an endpoint in the table 'servers'.
std::string serverEntry(std::uint16_t port, const std::string& service, std::uint64_t born, std::uint64_t sequence);

// Returns the present Unix millisecond.
std::uint64_t unixMilliseconds();

// Returns whether the case is to bring about its disturbance.
bool hasTrouble();

} // namespace review
