// Proxying hosts as real processes on loopback, before a stand-in store and
// stand-in upstreams in the test's own process.

#pragma once

#include "StandIns/stand_in_store.h"
#include "StandIns/stand_in_upstream.h"

#include <Poco/Pipe.h>
#include <Poco/Process.h>
#include <memory>
#include <string>
#include <vector>

namespace almondmoor {

class proxy_processes {
public:
    // Starts the stand-ins and writes the plan and the upstreams, but no host.
    explicit proxy_processes(unsigned hosts);
    // Ends every process that it started, by its id.
    ~proxy_processes();

    proxy_processes(const proxy_processes&) = delete;
    proxy_processes& operator=(const proxy_processes&) = delete;

    void start(unsigned host);
    void signal(unsigned host, int signal);
    // Waits for a host to end and returns its exit status.
    int waitFor(unsigned host);
    bool waitUntilReady(unsigned host);

    // Returns the status of a request with the key, or zero without an answer.
    int ask(unsigned host, const std::string& path = "/safe/1", const std::string& method = "GET");

    // Returns the status of a readiness check, or zero without an answer.
    int ready(unsigned host);

    // Returns all that a host has written so far and ends the reading.
    std::string takeOutput(unsigned host);

    // Writes a plan whose keyed routes take a key.
    void writePlan(unsigned version, const std::string& key);

    stand_in_store& store() { return *m_store; }
    stand_in_upstream& upstream(unsigned index) { return *m_upstreams[index]; }
    unsigned size() const { return static_cast<unsigned>(m_hosts.size()); }

private:
    struct host_row {
        std::unique_ptr<Poco::ProcessHandle> process;
        std::unique_ptr<Poco::Pipe> output;
    };

    std::unique_ptr<stand_in_store> m_store;
    std::vector<std::unique_ptr<stand_in_upstream>> m_upstreams;
    std::vector<host_row> m_hosts;
    unsigned m_requests = 0;
};

} // namespace almondmoor
