// Settings of the command 'proxy'.

#pragma once

#include "Core/dispatch_core.h"

#include <absl/status/status.h>
#include <string>

namespace almondmoor {

struct proxy_settings {
    std::string hostName;
    std::string dataCentre;
    // Name of the region by data centre.
    region_map regions;
    std::string clientAddress;
    std::string readinessAddress;
    std::string metricsAddress;
    // Address at which this host receives the neighbours' reports over UDP.
    std::string peerAddress;
    std::string storeAddress;
    unsigned maxClientConnections = 0;
    duration headTimeout {};
    duration bodyTimeout {};
    duration idleTimeout {};
    duration requestTimeout {};
    duration connectTimeout {};
    duration platformTimeout {};
    // Time for which an idle connection to an upstream is kept if the upstream states no
    // timeout.
    duration defaultUpstreamIdleTimeout = std::chrono::seconds(2);
    // Time from the signal for which the host reports not ready but closes no connection.
    duration stopNotice {};
    // Maximum time from the signal to the end of the process.
    duration stopGrace {};
    // Memory that the process may use; zero if it is not limited.
    std::uint64_t memoryBytes = 0;
    std::string logLevel;
    std::uint64_t seed = 0;
    dispatch_settings dispatch;
};

// Reads the flags and the environment. An error names the setting, its value and the
// allowed range.
absl::Status readProxySettings(int* argumentCount, char*** arguments, proxy_settings&);

// Reads "DATA-CENTRE=REGION,...". An error names the invalid part.
absl::Status parseRegions(const std::string& text, region_map&);

} // namespace almondmoor
