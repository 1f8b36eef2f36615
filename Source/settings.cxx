#include "settings.h"

#include "Core/error.h"
#include "proxy_settings.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <cstdlib>
#include <gflags/gflags.h>
#include <limits>

DEFINE_string(host_name, "host-1", "Name of this host, unique in the fleet.");
DEFINE_string(data_centre, "local-1", "Data centre of this host; the part up to the last dash is its region.");
DEFINE_string(guest_address, "127.0.0.1:8080", "Where guests connect.");
DEFINE_string(operator_address, "127.0.0.1:8081", "Where operators and the platform's checks connect.");
DEFINE_string(peer_address, "127.0.0.1:8082", "Where other hosts connect.");
DEFINE_string(platform, "memory", "The platform's IP-NUMBER:PORT, or 'memory' for one inside this process.");
DEFINE_string(operator_key, "", "Secret that operators send; best given as ALMONDMOOR_OPERATOR_KEY.");
DEFINE_uint32(guest_workers, 256, "Threads that serve requests of guests, for serve.");
DEFINE_uint32(guest_connections, 10000, "Connections of guests held at the same time.");
DEFINE_uint32(head_timeout_ms, 10000, "Time for a guest to send a request's head.");
DEFINE_uint32(body_timeout_ms, 30000, "Time for a guest to send or take the next piece of a body.");
DEFINE_uint32(idle_timeout_ms, 60000, "Time for which an idle guest stays connected.");
DEFINE_uint32(request_timeout_ms, 10000, "Time for a request whose guest gave no deadline.");
DEFINE_uint32(connect_timeout_ms, 500, "Time to connect to an upstream.");
DEFINE_uint32(platform_timeout_ms, 1000, "Time for a call to the platform.");
DEFINE_uint32(token_wait_ms, 400, "Time for which a request waits for a part of its team's allowance.");
DEFINE_uint32(largest_body_mb, 4096, "Largest request body.");
DEFINE_uint32(retry_percent, 10, "Retries allowed per hundred first attempts.");
DEFINE_uint32(freshness_limit_ms, 3500, "Age of the configuration's evidence from which keyed routes are refused.");
DEFINE_uint32(stop_notice_ms, 2000, "Time between showing 'not ready' and closing the guest port on a planned stop.");
DEFINE_uint32(stop_limit_ms, 60000, "Longest time that a planned stop waits for running requests.");
DEFINE_string(regions, "", "Regions by data centre, as DATA-CENTRE=REGION,...; command 'proxy' only, as all below.");
DEFINE_string(readiness_address, "127.0.0.1:8083", "Where the platform asks whether this host is ready.");
DEFINE_string(metrics_address, "", "Where counters are served; empty for nowhere but the readiness address.");
DEFINE_string(store, "", "The platform's table store, IP-NUMBER:PORT.");
DEFINE_double(stop_grace_s, 6, "Time from a stop signal to the end of the process.");
DEFINE_double(fleet_retry_ratio, 0.1, "Retries per first attempt that the whole fleet may make.");
DEFINE_double(fleet_retry_slack, 10, "Retries beyond the ratio that the whole fleet may make in a window.");
DEFINE_double(quota_slack, 0, "Requests beyond rate and burst that operators tolerate in a window, for the whole fleet.");
DEFINE_double(quota_overage, 0, "The same as a fraction of what rate and burst allow in a window.");
DEFINE_double(quota_window_s, 5, "Window over which a team's rate and burst are enforced.");
DEFINE_double(cold_overage, 1, "Requests per second that a cold upstream may get, as a multiple of its service's warm-up rate.");
DEFINE_double(cold_slack, 0, "Requests beyond that in any one second that a cold upstream tolerates.");
DEFINE_bool(first_start, false, "Whether the whole fleet starts for the first time, so that no team has used any of its rate.");
DEFINE_bool(selective_trials, false, "Whether requests that cannot be repeated make only the trials that their service needs.");
DEFINE_double(memory_mb, 0, "Memory that the process may use; 0 if it is not limited. Half of it may be held for requests.");
DEFINE_string(log_level, "info", "Lines that are logged: error, warn, info or debug.");
DEFINE_uint64(seed, 0, "Seed of random choices; 0 draws one.");

namespace almondmoor {

namespace {

    constexpr const char* environmentPrefix = "ALMONDMOOR_";
    constexpr double bytesPerMebibyte = 1 << 20;

    absl::Status settingError(const std::string& name, const std::string& value, const std::string& expectation)
    {
        return makeError(absl::StatusCode::kInvalidArgument, "settings", "", absl::StrCat("--", name, "=", value, ": ", expectation));
    }

    bool isSocketAddress(const std::string& text)
    {
        const auto colon = text.rfind(':');
        unsigned port = 0;
        return colon != std::string::npos && colon > 0 && absl::SimpleAtoi(text.substr(colon + 1), &port) && port > 0 && port < 65536
            && text.find_first_not_of("0123456789abcdefABCDEF.:[]") == std::string::npos;
    }

    absl::Status readEnvironment()
    {
        for (const auto& row : settingRows()) {
            const std::string variable = absl::StrCat(environmentPrefix, absl::AsciiStrToUpper(row.flag));
            const char* value = std::getenv(variable.c_str());
            if (!value || (row.mayBeEmpty && !*value))
                continue;
            const auto changed = gflags::SetCommandLineOptionWithMode(row.flag, value, gflags::SET_FLAGS_DEFAULT);
            if (changed.empty())
                return makeError(absl::StatusCode::kInvalidArgument, "settings", "", absl::StrCat(variable, "=", value, ": not a valid value of this setting"));
        }
        return absl::OkStatus();
    }

    absl::Status checkRanges()
    {
        for (const auto& row : settingRows()) {
            std::string value;
            gflags::GetCommandLineOption(row.flag, &value);
            const bool isText = row.minValue == 0 && row.maxValue == 0;
            double number = 0;
            if (isText)
                continue;
            if (!absl::SimpleAtod(value, &number) || number < row.minValue || number > row.maxValue)
                return settingError(row.flag, value, absl::StrCat("must be from ", row.minValue, " to ", row.maxValue, " ", row.unit));
        }
        for (const auto& [flag, value] : { std::pair("guest_address", FLAGS_guest_address), std::pair("operator_address", FLAGS_operator_address), std::pair("peer_address", FLAGS_peer_address) }) {
            if (!isSocketAddress(value))
                return settingError(flag, value, "expected IP-NUMBER:PORT");
        }
        if (FLAGS_platform != "memory" && !isSocketAddress(FLAGS_platform))
            return settingError("platform", FLAGS_platform, "expected 'memory' or IP-NUMBER:PORT");
        constexpr std::array<std::string_view, 4> levels { "error", "warn", "info", "debug" };
        if (std::find(levels.begin(), levels.end(), FLAGS_log_level) == levels.end())
            return settingError("log_level", FLAGS_log_level, "expected error, warn, info or debug");
        if (FLAGS_host_name.empty() || FLAGS_host_name.find_first_of(" \t") != std::string::npos)
            return settingError("host_name", FLAGS_host_name, "expected a name without spaces");
        if (FLAGS_data_centre.empty() || FLAGS_data_centre.find_first_of(" \t") != std::string::npos)
            return settingError("data_centre", FLAGS_data_centre, "expected a name without spaces");
        return absl::OkStatus();
    }

    // Lets every request make the trials that are due, whatever its service loses.
    void allowAllDueTrials(trial_settings& trials)
    {
        trials.minLossShare = 0;
        // No coverage reaches this.
        trials.minCoverage = 2;
        trials.failingInterval = trials.otherInterval;
        trials.maxFailingInterval = trials.maxInterval;
        trials.maxFailedTrials = std::numeric_limits<unsigned>::max();
        trials.urgentDelay = duration::zero();
    }

    duration milliseconds(std::uint32_t value)
    {
        return std::chrono::milliseconds(value);
    }

    // gflags ends the process when it parses an unknown flag, so unknown flags are reported beforehand.
    absl::Status checkFlagNames(int argumentCount, char** arguments)
    {
        for (int index = 1; index < argumentCount; ++index) {
            std::string name(arguments[index]);
            if (name.rfind("--", 0) != 0)
                continue;
            name = name.substr(2, name.find('=') - 2);
            const auto& rows = settingRows();
            const bool isKnown = std::any_of(rows.begin(), rows.end(), [&name](const auto& row) { return name == row.flag; });
            if (!isKnown)
                return makeError(absl::StatusCode::kInvalidArgument, "settings", "", absl::StrCat("--", name, ": no such setting; 'almondmoor help' lists them"));
        }
        return absl::OkStatus();
    }

    absl::Status parseFlags(int* argumentCount, char*** arguments)
    {
        auto status = checkFlagNames(*argumentCount, *arguments);
        if (status.ok())
            status = readEnvironment();
        if (!status.ok())
            return status;
        gflags::ParseCommandLineNonHelpFlags(argumentCount, arguments, true);
        return checkRanges();
    }

} // namespace

const std::vector<setting_row>& settingRows()
{
    static const std::vector<setting_row> rows {
        { "host_name", "", 0, 0 },
        { "data_centre", "", 0, 0 },
        { "guest_address", "", 0, 0 },
        { "operator_address", "", 0, 0 },
        { "peer_address", "", 0, 0 },
        { "platform", "", 0, 0 },
        { "operator_key", "", 0, 0 },
        { "guest_workers", "threads", 1, 4096 },
        { "guest_connections", "connections", 1, 200000 },
        { "head_timeout_ms", "ms", 100, 600000 },
        { "body_timeout_ms", "ms", 100, 600000 },
        { "idle_timeout_ms", "ms", 100, 3600000 },
        { "request_timeout_ms", "ms", 10, 600000 },
        { "connect_timeout_ms", "ms", 1, 60000 },
        { "platform_timeout_ms", "ms", 10, 60000 },
        { "token_wait_ms", "ms", 0, 10000 },
        { "largest_body_mb", "MiB", 1, 1048576 },
        { "retry_percent", "%", 0, 100 },
        { "freshness_limit_ms", "ms", 500, 4000 },
        { "stop_notice_ms", "ms", 0, 600000 },
        { "stop_limit_ms", "ms", 100, 3600000 },
        { "regions", "", 0, 0 },
        { "readiness_address", "", 0, 0 },
        { "metrics_address", "", 0, 0 },
        { "store", "", 0, 0 },
        { "stop_grace_s", "s", 1, 3600 },
        { "fleet_retry_ratio", "", 0, 1 },
        { "fleet_retry_slack", "requests", 0, 1000000 },
        { "quota_slack", "requests", 0, 1000000 },
        { "quota_overage", "", 0, 10 },
        { "quota_window_s", "s", 0.001, 3600 },
        { "cold_overage", "", 0, 1000, true },
        { "cold_slack", "requests", 0, 1000000, true },
        { "first_start", "", 0, 0 },
        { "memory_mb", "MiB", 0, 1048576 },
        { "selective_trials", "", 0, 0 },
        { "log_level", "", 0, 0 },
        { "seed", "", 0, 1.8446744073709552e19 },
    };
    return rows;
}

absl::Status readSettings(int* argumentCount, char*** arguments, serve_settings& settings)
{
    auto status = parseFlags(argumentCount, arguments);
    if (!status.ok())
        return status;
    settings.hostName = FLAGS_host_name;
    settings.dataCentre = FLAGS_data_centre;
    settings.clientAddress = FLAGS_guest_address;
    settings.operatorAddress = FLAGS_operator_address;
    settings.peerAddress = FLAGS_peer_address;
    settings.platform = FLAGS_platform;
    settings.operatorKey = FLAGS_operator_key;
    settings.clientWorkers = FLAGS_guest_workers;
    settings.clientConnections = FLAGS_guest_connections;
    settings.headTimeout = milliseconds(FLAGS_head_timeout_ms);
    settings.bodyTimeout = milliseconds(FLAGS_body_timeout_ms);
    settings.idleTimeout = milliseconds(FLAGS_idle_timeout_ms);
    settings.requestTimeout = milliseconds(FLAGS_request_timeout_ms);
    settings.connectTimeout = milliseconds(FLAGS_connect_timeout_ms);
    settings.platformTimeout = milliseconds(FLAGS_platform_timeout_ms);
    settings.maxTokenWait = milliseconds(FLAGS_token_wait_ms);
    settings.maxBodyBytes = std::uint64_t { FLAGS_largest_body_mb } << 20;
    settings.stopNotice = milliseconds(FLAGS_stop_notice_ms);
    settings.drainTimeout = milliseconds(FLAGS_stop_limit_ms);
    settings.logLevel = FLAGS_log_level;
    settings.seed = FLAGS_seed;
    settings.traffic.budget.ratio = FLAGS_retry_percent / 100.0;
    settings.freshness.ttl = milliseconds(FLAGS_freshness_limit_ms);
    if (settings.operatorKey.empty())
        return settingError("operator_key", "", "a secret is needed; set ALMONDMOOR_OPERATOR_KEY");
    return absl::OkStatus();
}

absl::Status parseRegions(const std::string& text, region_map& regions)
{
    for (const absl::string_view pair : absl::StrSplit(text, ',', absl::SkipEmpty())) {
        const std::vector<std::string> parts = absl::StrSplit(pair, '=');
        if (parts.size() != 2 || parts[0].empty() || parts[1].empty())
            return settingError("regions", std::string(pair), "expected DATA-CENTRE=REGION");
        regions[parts[0]] = parts[1];
    }
    return absl::OkStatus();
}

absl::Status readProxySettings(int* argumentCount, char*** arguments, proxy_settings& settings)
{
    auto status = parseFlags(argumentCount, arguments);
    if (status.ok())
        status = parseRegions(FLAGS_regions, settings.regions);
    if (!status.ok())
        return status;
    for (const auto& [flag, value] : { std::pair("store", FLAGS_store), std::pair("readiness_address", FLAGS_readiness_address) }) {
        if (!isSocketAddress(value))
            return settingError(flag, value, "expected IP-NUMBER:PORT");
    }
    if (!FLAGS_metrics_address.empty() && !isSocketAddress(FLAGS_metrics_address))
        return settingError("metrics_address", FLAGS_metrics_address, "expected IP-NUMBER:PORT or nothing");
    settings.hostName = FLAGS_host_name;
    settings.dataCentre = FLAGS_data_centre;
    settings.regions.try_emplace(settings.dataCentre, settings.dataCentre);
    settings.clientAddress = FLAGS_guest_address;
    settings.readinessAddress = FLAGS_readiness_address;
    settings.metricsAddress = FLAGS_metrics_address;
    settings.peerAddress = FLAGS_peer_address;
    settings.storeAddress = FLAGS_store;
    settings.maxClientConnections = FLAGS_guest_connections;
    settings.headTimeout = milliseconds(FLAGS_head_timeout_ms);
    settings.bodyTimeout = milliseconds(FLAGS_body_timeout_ms);
    settings.idleTimeout = milliseconds(FLAGS_idle_timeout_ms);
    settings.requestTimeout = milliseconds(FLAGS_request_timeout_ms);
    settings.connectTimeout = milliseconds(FLAGS_connect_timeout_ms);
    settings.platformTimeout = milliseconds(FLAGS_platform_timeout_ms);
    settings.stopNotice = milliseconds(FLAGS_stop_notice_ms);
    settings.stopGrace = fromSeconds(FLAGS_stop_grace_s);
    settings.logLevel = FLAGS_log_level;
    settings.seed = FLAGS_seed;
    settings.dispatch.retryRatio = FLAGS_fleet_retry_ratio;
    settings.dispatch.retrySlack = FLAGS_fleet_retry_slack;
    settings.dispatch.quota.slack = FLAGS_quota_slack;
    settings.dispatch.quota.overage = FLAGS_quota_overage;
    settings.dispatch.quota.window = fromSeconds(FLAGS_quota_window_s);
    settings.dispatch.quota.isFirstStart = FLAGS_first_start;
    settings.dispatch.cold.overage = FLAGS_cold_overage;
    settings.dispatch.cold.slack = FLAGS_cold_slack;
    if (!FLAGS_selective_trials)
        allowAllDueTrials(settings.dispatch.choice.trials);
    settings.memoryBytes = static_cast<std::uint64_t>(FLAGS_memory_mb * bytesPerMebibyte);
    settings.dispatch.quota.dataCentres = static_cast<unsigned>(settings.regions.size());
    return absl::OkStatus();
}

absl::Status readCtlSettings(int* argumentCount, char*** arguments, ctl_settings& settings)
{
    auto status = parseFlags(argumentCount, arguments);
    if (!status.ok())
        return status;
    settings.operatorAddress = FLAGS_operator_address;
    settings.operatorKey = FLAGS_operator_key;
    if (settings.operatorKey.empty())
        return settingError("operator_key", "", "a secret is needed; set ALMONDMOOR_OPERATOR_KEY");
    return absl::OkStatus();
}

std::string describeSettings()
{
    std::string text;
    for (const auto& row : settingRows()) {
        gflags::CommandLineFlagInfo info;
        gflags::GetCommandLineFlagInfo(row.flag, &info);
        absl::StrAppend(&text, "  --", row.flag, "  ", info.description, " Default: ", info.default_value.empty() ? "none" : info.default_value);
        const bool hasRange = row.minValue != 0 || row.maxValue != 0;
        if (hasRange && *row.unit)
            absl::StrAppend(&text, " (", row.minValue, " to ", row.maxValue, " ", row.unit, ")");
        absl::StrAppend(&text, "\n");
    }
    return text;
}

} // namespace almondmoor
