// Outcomes of requests as reported to clients, and the reasons for refusals and retries.

#pragma once

#include "Core/name_table.h"

#include <array>
#include <string_view>

namespace almondmoor {

// Whether the action that a request asks for was executed.
enum class outcome {
    // No byte of the request reached an upstream that could have executed it.
    NotRun,
    // An upstream may have executed it. This host cannot tell.
    Unknown,
    // An upstream responded to it.
    Ran
};

inline constexpr name_table<outcome, 3> outcomeNames { {
    { outcome::NotRun, "not-run" },
    { outcome::Unknown, "unknown" },
    { outcome::Ran, "ran" },
} };

enum class refusal_reason {
    BadRequest,
    HeadTooLarge,
    BodyTooLarge,
    BodyTimeout,
    NoRoute,
    NoKey,
    UnknownKey,
    KeyInRequest,
    TeamNotAllowed,
    StaleConfiguration,
    RateExceeded,
    QueueFull,
    QueueTimeout,
    NoUpstream,
    ConnectFailed,
    NotStarted,
    IdempotencyKeyMissing,
    ClaimUnavailable,
    Duplicate,
    Quarantined,
    ResponseLost,
    ResponseTimeout,
    BadResponse,
    NoConfiguration,
    NoCapacity,
    NoHome,
    NoRoomForPriority,
    Evacuated,
    Stopping,
    HostMemoryShort
};

inline constexpr std::size_t refusalReasonCount = 30;

// The name and HTTP status of a refusal reason. There is one row per reason.
struct refusal_row {
    refusal_reason reason;
    std::string_view name;
    int httpStatus;
};

inline constexpr std::array<refusal_row, refusalReasonCount> refusalRows { {
    { refusal_reason::BadRequest, "bad-request", 400 },
    { refusal_reason::HeadTooLarge, "head-too-large", 431 },
    { refusal_reason::BodyTooLarge, "body-too-large", 413 },
    { refusal_reason::BodyTimeout, "body-timeout", 408 },
    { refusal_reason::NoRoute, "no-route", 404 },
    { refusal_reason::NoKey, "no-key", 401 },
    { refusal_reason::UnknownKey, "unknown-key", 401 },
    { refusal_reason::KeyInRequest, "key-in-request", 400 },
    { refusal_reason::TeamNotAllowed, "team-not-allowed", 403 },
    { refusal_reason::StaleConfiguration, "stale-configuration", 503 },
    { refusal_reason::RateExceeded, "rate-exceeded", 429 },
    { refusal_reason::QueueFull, "queue-full", 503 },
    { refusal_reason::QueueTimeout, "queue-timeout", 503 },
    { refusal_reason::NoUpstream, "no-upstream", 503 },
    { refusal_reason::ConnectFailed, "connect-failed", 502 },
    { refusal_reason::NotStarted, "not-started", 503 },
    { refusal_reason::IdempotencyKeyMissing, "idempotency-key-missing", 400 },
    { refusal_reason::ClaimUnavailable, "claim-unavailable", 503 },
    { refusal_reason::Duplicate, "duplicate", 409 },
    { refusal_reason::Quarantined, "quarantined", 503 },
    { refusal_reason::ResponseLost, "answer-lost", 502 },
    { refusal_reason::ResponseTimeout, "answer-timeout", 504 },
    { refusal_reason::BadResponse, "bad-answer", 502 },
    { refusal_reason::NoConfiguration, "no-configuration", 503 },
    { refusal_reason::NoCapacity, "no-room", 503 },
    { refusal_reason::NoHome, "no-home", 503 },
    { refusal_reason::NoRoomForPriority, "no-room-for-priority", 503 },
    { refusal_reason::Evacuated, "evacuated", 503 },
    { refusal_reason::Stopping, "stopping", 503 },
    { refusal_reason::HostMemoryShort, "host-full", 503 },
} };

// Returns the row of a refusal reason.
constexpr const refusal_row& rowOf(refusal_reason reason)
{
    return refusalRows[static_cast<std::size_t>(reason)];
}

// Reasons why another attempt was made, or was needed but denied.
enum class retry_reason {
    ConnectFailed,
    NotStarted,
    ResponseLost,
    ResponseTimeout,
    ServerError,
    DeniedByBudget,
    DeniedByDeadline,
    DeniedNotIdempotent,
    DeniedNoUpstream
};

inline constexpr name_table<retry_reason, 9> retryReasonNames { {
    { retry_reason::ConnectFailed, "connect-failed" },
    { retry_reason::NotStarted, "not-started" },
    { retry_reason::ResponseLost, "answer-lost" },
    { retry_reason::ResponseTimeout, "answer-timeout" },
    { retry_reason::ServerError, "server-error" },
    { retry_reason::DeniedByBudget, "denied-by-budget" },
    { retry_reason::DeniedByDeadline, "denied-by-deadline" },
    { retry_reason::DeniedNotIdempotent, "denied-not-repeatable" },
    { retry_reason::DeniedNoUpstream, "denied-no-upstream" },
} };

} // namespace almondmoor
