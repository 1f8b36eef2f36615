// The message that hosts send each other, used both as request and as reply.

#pragma once

#include "Core/allowance.h"
#include "Core/configuration.h"
#include "Core/core_time.h"
#include "Core/upstream_health.h"

#include <cstdint>
#include <string>
#include <vector>

namespace almondmoor {

// The version report of a third host, passed on with its age.
struct relayed_version_report {
    std::string host;
    std::uint64_t incarnation = 0;
    config_version version = 0;
    // Whole milliseconds, rounded up.
    std::uint32_t ageMs = 0;
};

// The latest known read of the store's head, by the sender or another host.
struct relayed_store_read {
    bool isKnown = false;
    config_version head = 0;
    std::uint32_t ageMs = 0;
};

// The samples of upstream requests that one host collected in one tick.
struct health_report {
    std::string origin;
    std::uint64_t originIncarnation = 0;
    std::string dataCentre;
    // Increases with each report of this incarnation.
    std::uint64_t sequence = 0;
    std::vector<attempt_sample> samples;
};

// A request that the sender refuses since it crashed upstreams.
struct relayed_quarantine {
    std::uint64_t fingerprint = 0;
    // Whole milliseconds since the last crash, rounded up.
    std::uint32_t ageMs = 0;
};

struct peer_message {
    std::string sender;
    std::uint64_t incarnation = 0;
    std::string dataCentre;
    // Version of the configuration that the sender holds.
    config_version version = 0;
    // Sender's clock when it made the message, in microseconds. Only the sender may interpret it.
    std::int64_t stamp = 0;
    // Latest stamp that the sender has received from the recipient, and the recipient's incarnation that made the stamp.
    // The echo proves to the recipient that this message was made after that stamp.
    std::int64_t echo = 0;
    std::uint64_t echoIncarnation = 0;
    relayed_store_read storeRead;
    std::vector<relayed_version_report> versionReports;
    std::vector<change> changes;
    // The whole configuration as commands, sent when the sender's history does not reach back to the recipient's version.
    config_version snapshotVersion = 0;
    std::vector<std::string> snapshot;
    // True if the reply should contain health reports of other hosts.
    bool wantsHealthReports = false;
    std::vector<health_report> healthReports;
    std::vector<share_report> shareReports;
    std::vector<share_grant> shareGrants;
    std::vector<share_handover> shareHandovers;
    std::vector<relayed_quarantine> quarantines;
};

// Kinds of message, used as a metric label.
enum class message_kind {
    Exchange,
    Push,
    Shares
};

inline constexpr name_table<message_kind, 3> messageKindNames { {
    { message_kind::Exchange, "exchange" },
    { message_kind::Push, "push" },
    { message_kind::Shares, "shares" },
} };

struct outgoing_message {
    message_kind kind = message_kind::Exchange;
    std::string peer;
    std::string address;
    peer_message message;
};

} // namespace almondmoor
