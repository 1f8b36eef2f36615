// Serves the operator port: commands and queries, metrics, and the health checks of the platform's load balancer.
//
//   POST /command   one command in the body     requires the operator's key
//   GET  /metrics   Prometheus text             requires the operator's key
//   GET  /ready     200 while the host accepts clients, else 503
//   GET  /live      200 while the control thread responds

#pragma once

#include "Core/command.h"
#include "control_loop.h"
#include "host_runtime.h"
#include "http_listener.h"

#include <string>

namespace almondmoor {

class operator_handler {
public:
    operator_handler(host_runtime& runtime, control_loop& control)
        : m_runtime(runtime)
        , m_control(control)
    {
    }

    // Reads one request and sends its reply. Returns what to do with the connection.
    connection_disposition serve(http_exchange&);

    // Runs one command line and returns its reply, which always ends in a newline. Sets the HTTP status of the reply.
    std::string run(const std::string& line, const std::string& author, int& status);

private:
    bool isAuthorized(const http_exchange&) const;
    std::string runChange(const command&, const std::string& author, int& status);
    std::string runCreateKey(create_key, const std::string& author, int& status);
    std::string runQuery(const show_query&, int& status);
    std::string runExplain(const explain_query&, int& status);
    std::string describeChange(const change_status&, const command&, int& status) const;

    host_runtime& m_runtime;
    control_loop& m_control;
};

} // namespace almondmoor
