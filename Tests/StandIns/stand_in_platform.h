// A stand-in for the platform's services in tests: serves them over HTTP from memory and can inject faults.

#pragma once

#include "Platform/memory_platform.h"
#include "http_listener.h"

#include <memory>
#include <string>

namespace almondmoor {

// In addition to the paths that http_platform.h calls, these paths inject faults and set one entry of the host list:
//   PUT /switch/faults?away=yes&lost-answers=N
//   PUT /switch/host?name=N&peer=A&data-centre=D&leaving=no
// A call whose response is lost takes effect, but its connection is aborted without a response.
class stand_in_platform {
public:
    // Serves on IP-NUMBER:PORT.
    explicit stand_in_platform(const std::string& address);
    ~stand_in_platform();

    stand_in_platform(const stand_in_platform&) = delete;
    stand_in_platform& operator=(const stand_in_platform&) = delete;

    memory_platform& memory() { return m_memory; }

private:
    connection_disposition serve(http_exchange&);
    // Returns the body of the response and sets its HTTP status, which the caller has initialized to 200.
    std::string handleCall(const std::string& method, const std::string& path, const std::string& body, int& status);
    void applySwitch(const std::string& target);

    memory_platform m_memory;
    std::unique_ptr<http_listener> m_listener;
};

} // namespace almondmoor
