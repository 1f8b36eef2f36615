// One proxying host in the test's own process, with a plan and upstreams of the
// test's choice and stand-in upstreams behind it.

#pragma once

#include "Serve/host_fixture.h"
#include "StandIns/stand_in_upstream.h"
#include "http_listener.h"
#include "proxy_runtime.h"

#include <memory>
#include <string>
#include <vector>

namespace almondmoor {

// Header names that no platform uses, so that none is spelled in the program.
wire_names testWireNames();

class proxy_fixture {
public:
    explicit proxy_fixture(unsigned upstreams = 2, bool publishesPlan = true);
    ~proxy_fixture();

    proxy_fixture(const proxy_fixture&) = delete;
    proxy_fixture& operator=(const proxy_fixture&) = delete;

    // A plan with routes /safe/ and /unsafe/ of host a.example, /open/ without a
    // key, and team 'shop' with key 'sesame'.
    static serving_config plan(std::uint64_t version);

    // Publishes the upstreams that stand.
    void publishUpstreams();

    // Sends a request with the key and returns the whole answer.
    std::string get(const std::string& path, const std::string& headers = "");
    std::string post(const std::string& path, const std::string& body, const std::string& headers = "");

    // Gives all upstreams one behaviour, with signature and echoed id added.
    void setBehaviour(const upstream_behaviour&);
    static upstream_behaviour sound(upstream_behaviour);

    stand_in_upstream& upstream(unsigned index = 0) { return *m_upstreams[index]; }
    std::size_t runCount() const;
    std::size_t receivedCount() const;
    proxy_runtime& runtime() { return *m_runtime; }
    http_listener& guests() { return *m_guests; }
    std::string guestAddress() const { return m_settings.clientAddress; }

private:
    proxy_settings m_settings;
    std::vector<std::unique_ptr<stand_in_upstream>> m_upstreams;
    std::unique_ptr<proxy_runtime> m_runtime;
    std::unique_ptr<http_listener> m_guests;
};

} // namespace almondmoor
