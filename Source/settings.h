// Settings from flags and environment variables, all checked at start.
//
// Each flag --NAME may also be given as the environment variable
// ALMONDMOOR_NAME in capitals; the command line goes first.

#pragma once

#include "Core/fleet_member.h"
#include "Core/traffic_core.h"

#include <absl/status/status.h>
#include <string>
#include <vector>

namespace almondmoor {

struct serve_settings {
    std::string hostName;
    std::string dataCentre;
    std::string guestAddress;
    std::string operatorAddress;
    std::string peerAddress;
    // "memory" or the platform's IP-NUMBER:PORT.
    std::string platform;
    std::string operatorKey;
    unsigned guestWorkers = 0;
    unsigned guestConnections = 0;
    duration headTimeout {};
    duration bodyTimeout {};
    duration idleTimeout {};
    duration requestTimeout {};
    duration connectTimeout {};
    duration platformTimeout {};
    duration tokenWait {};
    std::uint64_t largestBody = 0;
    duration stopNotice {};
    duration stopLimit {};
    std::string logLevel;
    std::uint64_t seed = 0;
    traffic_settings traffic;
    freshness_settings freshness;
};

// One row of the table that documents and checks the flags.
struct setting_row {
    const char* flag;
    const char* unit;
    // Allowed range; both zero for texts.
    double least;
    double most;
};

const std::vector<setting_row>& settingRows();

// Reads flags and environment. An error names the setting, its value and the
// allowed range.
absl::Status readSettings(int* argumentCount, char*** arguments, serve_settings&);

// Reads flags of the client commands.
struct client_settings {
    std::string operatorAddress;
    std::string operatorKey;
};
absl::Status readClientSettings(int* argumentCount, char*** arguments, client_settings&);

// Writes every setting with its unit, range and default.
std::string describeSettings();

} // namespace almondmoor
