// Settings from command-line flags and environment variables. All of them are checked at start.
//
// Each flag --NAME may also be given as the environment variable ALMONDMOOR_NAME, with NAME in capitals. The command
// line takes precedence over the environment.

#pragma once

#include "Core/fleet_member.h"
#include "Core/traffic_core.h"

#include <absl/status/status.h>
#include <string>
#include <vector>

namespace almondmoor {

// Settings of the command 'serve'.
struct serve_settings {
    std::string hostName;
    std::string dataCentre;
    std::string clientAddress;
    std::string operatorAddress;
    std::string peerAddress;
    // "memory" or the platform's IP-NUMBER:PORT.
    std::string platform;
    std::string operatorKey;
    unsigned clientWorkers = 0;
    unsigned clientConnections = 0;
    duration headTimeout {};
    duration bodyTimeout {};
    duration idleTimeout {};
    duration requestTimeout {};
    duration connectTimeout {};
    duration platformTimeout {};
    // Maximum time for which a request waits for a token of its team's allowance.
    duration maxTokenWait {};
    std::uint64_t maxBodyBytes = 0;
    // Time for which the client port stays open in a planned stop after the host has reported 'not ready' and has
    // handed off its allowances.
    duration stopNotice {};
    // Maximum time for which a planned stop waits for running requests after the client port is closed.
    duration drainTimeout {};
    std::string logLevel;
    std::uint64_t seed = 0;
    traffic_settings traffic;
    freshness_settings freshness;
};

// One row of the table by which the flags are documented and checked.
struct setting_row {
    const char* flag;
    const char* unit;
    // Allowed range of a number; both are zero for a text.
    double minValue;
    double maxValue;
    // An empty environment variable stands for the default value.
    bool mayBeEmpty = false;
};

const std::vector<setting_row>& settingRows();

// Reads the flags and environment variables of the command 'serve'. An error names the setting, its value and the
// allowed range.
absl::Status readSettings(int* argumentCount, char*** arguments, serve_settings&);

// Settings of the command 'ctl'.
struct ctl_settings {
    std::string operatorAddress;
    std::string operatorKey;
};

// Reads the flags and environment variables of the command 'ctl'.
absl::Status readCtlSettings(int* argumentCount, char*** arguments, ctl_settings&);

// Returns the help text of all settings, one line each, with unit, range and default.
std::string describeSettings();

} // namespace almondmoor
