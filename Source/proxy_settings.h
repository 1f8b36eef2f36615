// Settings of the command 'proxy'.

#pragma once

#include "Core/dispatch_core.h"

#include <absl/status/status.h>
#include <string>

namespace almondmoor {

struct proxy_settings {
    std::string hostName;
    std::string dataCentre;
    // Regions by data centre.
    region_map regions;
    std::string guestAddress;
    std::string readinessAddress;
    std::string metricsAddress;
    // Where neighbours send their reports, over UDP.
    std::string peerAddress;
    std::string storeAddress;
    unsigned guestWorkers = 0;
    unsigned guestConnections = 0;
    duration headTimeout {};
    duration bodyTimeout {};
    duration idleTimeout {};
    duration requestTimeout {};
    duration connectTimeout {};
    duration platformTimeout {};
    // For connections to upstreams of whose idle time nothing is known.
    duration usualIdleLimit = std::chrono::seconds(2);
    duration stopNotice {};
    // From the signal to the end of the process.
    duration stopGrace {};
    std::string logLevel;
    std::uint64_t seed = 0;
    dispatch_settings dispatch;
};

// Reads flags and environment. An error names the setting, its value and the
// allowed range.
absl::Status readProxySettings(int* argumentCount, char*** arguments, proxy_settings&);

// Reads "DATA-CENTRE=REGION,...". An error names the part that is wrong.
absl::Status parseRegions(const std::string& text, region_map&);

} // namespace almondmoor
