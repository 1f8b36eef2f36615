// The platform's services over HTTP for tests, with switches for its faults.

#pragma once

#include "Platform/memory_platform.h"
#include "http_listener.h"

#include <memory>
#include <string>

namespace almondmoor {

// Beside the paths of http_platform.h it serves
//   PUT /switch/faults?away=yes&lost-answers=N
//   PUT /switch/host?name=N&peer=A&data-centre=D&leaving=no
// A call whose answer is lost takes effect and its connection is closed.
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
    std::string runCall(const std::string& method, const std::string& path, const std::string& body, int& status);
    void runSwitch(const std::string& target);

    memory_platform m_memory;
    std::unique_ptr<http_listener> m_listener;
};

} // namespace almondmoor
