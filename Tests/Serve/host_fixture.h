// Runs one host in the process of the test, with a memory platform, stand-in upstreams and a client that sends raw
// bytes.

#pragma once

#include "StandIns/stand_in_upstream.h"
#include "client_handler.h"
#include "control_loop.h"
#include "operator_handler.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

namespace almondmoor {

// Returns a loopback address. Its port is derived from the process id and the offset, so that test processes that run
// at the same time rarely use the same ports.
std::string localAddress(unsigned offset);

// A client connection that sends and receives bytes unchanged.
class raw_client {
public:
    explicit raw_client(const std::string& address);

    void send(const std::string& bytes);

    // Receives one response, or what arrives until the other side closes. A body that is cut short ends in "[cut]".
    std::string receive();

    // Sends bytes and receives one response.
    std::string roundTrip(const std::string& bytes);

    byte_stream& stream() { return *m_stream; }

private:
    std::unique_ptr<byte_stream> m_stream;
};

class host_fixture {
public:
    explicit host_fixture(unsigned upstreams = 1, const std::function<void(serve_settings&)>& adjust = {});
    ~host_fixture();

    // Runs an operator's command, which must be accepted, and returns the reply.
    std::string command(const std::string& line);

    // Send a request with a key of team cooling and return the whole response.
    std::string get(const std::string& path, const std::string& headers = "");
    std::string post(const std::string& path, const std::string& body, const std::string& headers = "");

    // Returns the text of a request with a key of team cooling.
    std::string requestText(const std::string& method, const std::string& path, const std::string& body, const std::string& headers) const;

    stand_in_upstream& upstream(unsigned index = 0) { return *m_upstreams[index]; }
    void stopUpstream(unsigned index) { m_upstreams[index].reset(); }
    std::string upstreamAddress(unsigned index) const;
    host_runtime& runtime() { return *m_runtime; }
    memory_platform& platform() { return *m_platform; }
    operator_handler& operators() { return *m_operatorHandler; }
    http_listener& clientListener() { return *m_clientListener; }
    std::string clientAddress() const { return m_settings.clientAddress; }
    const std::string& secret() const { return m_secret; }

    // Returns how many requests all upstreams have run.
    std::size_t runCount();

private:
    serve_settings m_settings;
    std::shared_ptr<memory_platform> m_platform;
    std::vector<std::unique_ptr<stand_in_upstream>> m_upstreams;
    std::unique_ptr<host_runtime> m_runtime;
    std::unique_ptr<control_loop> m_control;
    std::unique_ptr<operator_handler> m_operatorHandler;
    std::unique_ptr<http_listener> m_clientListener;
    std::string m_secret;
};

// Returns the resident memory of the test's process.
std::size_t residentKiB();

// Returns the value of a header of a response, or an empty string.
std::string headerOf(const std::string& response, const std::string& name);

// Returns the status code of a response, or zero if the response is too short to hold one.
int statusOf(const std::string& response);

} // namespace almondmoor
