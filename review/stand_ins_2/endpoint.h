// A stand-in of an endpoint for the second review. It registers itself, answers as PROTOCOL.md says and runs each request
// for a short time. A crash resets its connections and closes its port; after some seconds it starts again.

#pragma once

#include "http_wire.h"
#include "platform.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace review {

// What an endpoint does with a request that it has begun to run.
enum class run_plan {
    Answer,
    // The endpoint crashes without an answer.
    Crash,
    // The endpoint crashes while it sends its answer: the head and a part of the body are out.
    CrashWhileAnswering
};

class endpoint {
public:
    // The function is called when a request begins to run. It may be called by several threads.
    using run_handler = std::function<run_plan(const endpoint&, const http_message&)>;

    endpoint(metadata_store&, std::string service, std::string id, run_handler);
    ~endpoint();

    endpoint(const endpoint&) = delete;
    endpoint& operator=(const endpoint&) = delete;

    const std::string& id() const { return m_id; }
    const std::string& service() const { return m_service; }
    std::uint16_t port() const { return m_port; }
    // Returns the Unix millisecond of its last start.
    std::uint64_t born() const { return m_born; }

private:
    void run();
    void beat();
    void serve(int descriptor);
    // Returns whether the connection can be used again.
    bool handle(connection&, const http_message&);
    bool isUp() const { return m_isUp && !m_isStopping; }
    // Resets all connections.
    void resetConnections();

    metadata_store& m_store;
    std::string m_service;
    std::string m_id;
    run_handler m_handler;
    std::uint16_t m_port = 0;
    std::atomic<std::uint64_t> m_born { 0 };
    std::uint64_t m_sequence = 0;
    std::atomic<bool> m_isUp { true };
    std::atomic<bool> m_isStopping { false };
    std::atomic<int> m_running { 0 };
    std::mutex m_mutex;
    std::map<int, connection*> m_connections;
    std::thread m_thread;
};

} // namespace review
