// The one message that hosts exchange, as request and as reply.

#pragma once

#include "Core/allowance.h"
#include "Core/configuration.h"
#include "Core/core_time.h"
#include "Core/upstream_health.h"

#include <cstdint>
#include <string>
#include <vector>

namespace almondmoor {

// A statement about a third host, passed on with its age.
struct relayed_statement {
    std::string host;
    std::uint64_t incarnation = 0;
    config_version version = 0;
    // Whole milliseconds, rounded up.
    std::uint32_t ageMs = 0;
};

// The store's head, as read some time ago by somebody.
struct relayed_store_read {
    bool isKnown = false;
    config_version head = 0;
    std::uint32_t ageMs = 0;
};

// What one host saw of the upstreams in one tick.
struct evidence_report {
    std::string origin;
    std::uint64_t originIncarnation = 0;
    std::string dataCentre;
    // Grows with each report of this incarnation.
    std::uint64_t sequence = 0;
    std::vector<attempt_sample> samples;
};

struct peer_message {
    std::string sender;
    std::uint64_t incarnation = 0;
    std::string dataCentre;
    // Version of the configuration that the sender holds.
    config_version version = 0;
    // Sender's clock when it made the message, in microseconds. Only the sender
    // can read it.
    std::int64_t stamp = 0;
    // Latest stamp that the sender has received from the addressee, and the
    // incarnation that made it. It proves that this message is younger.
    std::int64_t echo = 0;
    std::uint64_t echoIncarnation = 0;
    relayed_store_read storeRead;
    std::vector<relayed_statement> statements;
    std::vector<change> changes;
    // The whole configuration, when the changes do not reach back far enough.
    config_version snapshotVersion = 0;
    std::vector<std::string> snapshot;
    // True if the sender wants the evidence of others in the reply.
    bool wantsEvidence = false;
    std::vector<evidence_report> evidence;
    std::vector<share_report> shareReports;
    std::vector<share_grant> shareGrants;
    std::vector<share_handover> shareHandovers;
};

// Kinds of message, for counting.
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
