// One host in the test's own process, on a memory platform, with stand-in
// upstreams and a guest that sends raw bytes.

#pragma once

#include "StandIns/stand_in_upstream.h"
#include "control_loop.h"
#include "guest_handler.h"
#include "operator_handler.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

namespace almondmoor {

// Returns an address of this machine whose port follows from the process id.
std::string localAddress(unsigned offset);

// A guest's connection that sends and receives bytes as they are.
class raw_guest {
public:
    explicit raw_guest(const std::string& address);

    void send(const std::string& bytes);

    // Receives until the other side closes or a whole answer is here. An answer
    // that is cut short comes back as it is.
    std::string receive();

    // Sends and receives.
    std::string ask(const std::string& bytes);

    byte_stream& stream() { return *m_stream; }

private:
    std::unique_ptr<byte_stream> m_stream;
};

class host_fixture {
public:
    explicit host_fixture(unsigned upstreams = 1, const std::function<void(serve_settings&)>& adjust = {});
    ~host_fixture();

    // Runs an operator's command that must be accepted.
    std::string command(const std::string& line);

    // Sends a request with a key of team cooling and returns the whole answer.
    std::string get(const std::string& path, const std::string& headers = "");
    std::string post(const std::string& path, const std::string& body, const std::string& headers = "");

    // Writes a request's text with the guest's key.
    std::string text(const std::string& method, const std::string& path, const std::string& body, const std::string& headers) const;

    stand_in_upstream& upstream(unsigned index = 0) { return *m_upstreams[index]; }
    void stopUpstream(unsigned index) { m_upstreams[index].reset(); }
    std::string upstreamAddress(unsigned index) const;
    host_runtime& runtime() { return *m_runtime; }
    memory_platform& platform() { return *m_platform; }
    operator_handler& operators() { return *m_operators; }
    http_listener& guests() { return *m_guests; }
    std::string guestAddress() const { return m_settings.clientAddress; }
    const std::string& secret() const { return m_secret; }

    // Returns the runs of all upstreams together.
    std::size_t runCount();

private:
    serve_settings m_settings;
    std::shared_ptr<memory_platform> m_platform;
    std::vector<std::unique_ptr<stand_in_upstream>> m_upstreams;
    std::unique_ptr<host_runtime> m_runtime;
    std::unique_ptr<control_loop> m_control;
    std::unique_ptr<operator_handler> m_operators;
    std::unique_ptr<http_listener> m_guests;
    std::string m_secret;
};

// Returns the value of a header of an answer, or an empty string.
std::string headerOf(const std::string& answer, const std::string& name);

// Returns the status of an answer, or zero.
int statusOf(const std::string& answer);

} // namespace almondmoor
