// What a guest is told about its request, and why.

#pragma once

#include "Core/name_table.h"

#include <array>
#include <string_view>

namespace almondmoor {

// Whether the action that a request asks for was run.
enum class outcome {
    // No byte of the request reached an upstream that could have run it.
    NotRun,
    // An upstream may have run it; nobody here knows.
    Unknown,
    // An upstream answered it.
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
    AnswerLost,
    AnswerTimeout,
    BadAnswer,
    NoConfiguration,
    NoRoom,
    Stopping
};

inline constexpr std::size_t refusalReasonCount = 26;

// One row per reason: its name, and the HTTP status that goes with it.
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
    { refusal_reason::AnswerLost, "answer-lost", 502 },
    { refusal_reason::AnswerTimeout, "answer-timeout", 504 },
    { refusal_reason::BadAnswer, "bad-answer", 502 },
    { refusal_reason::NoConfiguration, "no-configuration", 503 },
    { refusal_reason::NoRoom, "no-room", 503 },
    { refusal_reason::Stopping, "stopping", 503 },
} };

// Returns the row of a reason.
constexpr const refusal_row& rowOf(refusal_reason reason)
{
    return refusalRows[static_cast<std::size_t>(reason)];
}

// Why another attempt was made, or was wanted and not made.
enum class retry_reason {
    ConnectFailed,
    NotStarted,
    AnswerLost,
    AnswerTimeout,
    ServerError,
    DeniedByBudget,
    DeniedByDeadline,
    DeniedNotRepeatable,
    DeniedNoUpstream
};

inline constexpr name_table<retry_reason, 9> retryReasonNames { {
    { retry_reason::ConnectFailed, "connect-failed" },
    { retry_reason::NotStarted, "not-started" },
    { retry_reason::AnswerLost, "answer-lost" },
    { retry_reason::AnswerTimeout, "answer-timeout" },
    { retry_reason::ServerError, "server-error" },
    { retry_reason::DeniedByBudget, "denied-by-budget" },
    { retry_reason::DeniedByDeadline, "denied-by-deadline" },
    { retry_reason::DeniedNotRepeatable, "denied-not-repeatable" },
    { retry_reason::DeniedNoUpstream, "denied-no-upstream" },
} };

} // namespace almondmoor
