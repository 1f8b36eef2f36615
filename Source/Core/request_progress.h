// State machine of one request and its attempts.
//
// request_progress decides whether another attempt is allowed and whether the
// request may have run. Both follow only from the recorded transitions. A
// transition that is invalid in the current state throws std::logic_error.

#pragma once

#include "Core/outcome.h"

#include <cstdint>
#include <string>
#include <vector>

namespace almondmoor {

// State of one attempt.
enum class attempt_stage {
    // No byte of the request has been handed to the connection.
    Connecting,
    // At least one byte may have reached the upstream.
    Sent,
    // The attempt ended before any byte was sent, or the upstream reported that
    // it did not start the request.
    NotStarted,
    // The attempt ended after bytes were sent, without a complete response.
    Lost,
    // A complete response arrived, or the host began to pass the response on to
    // the client.
    Responded
};

inline constexpr name_table<attempt_stage, 5> attemptStageNames { {
    { attempt_stage::Connecting, "connecting" },
    { attempt_stage::Sent, "sent" },
    { attempt_stage::NotStarted, "not-started" },
    { attempt_stage::Lost, "lost" },
    { attempt_stage::Responded, "answered" },
} };

struct attempt {
    unsigned number = 0;
    std::string upstream;
    attempt_stage stage = attempt_stage::Connecting;
};

class request_progress {
public:
    explicit request_progress(bool idempotent)
        : m_idempotent(idempotent)
    {
    }

    // Returns whether a new attempt can begin: never while one is running, never
    // after a response, and for a request that is not idempotent never after an
    // attempt that may have run.
    bool canBeginAttempt() const;

    // Begins an attempt and returns its number, counted from 1.
    unsigned beginAttempt(std::string upstream);

    // Records that the next write may send bytes to the upstream. Must be called
    // before the write, so that after a crash between the two the outcome is
    // "unknown" rather than "not run".
    void markSent(unsigned number);

    // Records that an attempt ended and the upstream did not start the request.
    // After markSent() this is allowed only if the upstream itself reported it.
    void markNotStarted(unsigned number, bool reportedByUpstream);

    // Records that an attempt ended without a complete response. An attempt that
    // was never sent counts as not started.
    void markLost(unsigned number);
    void markResponded(unsigned number);

    // Returns whether the request ran, did not run, or may have run so far.
    outcome currentOutcome() const;

    const std::vector<attempt>& attempts() const { return m_attempts; }

private:
    // Returns the latest attempt. Throws unless it has this number and is running.
    attempt& runningAttempt(unsigned number);

    bool m_idempotent;
    // Invariant: only the last attempt can be in stage Connecting or Sent.
    std::vector<attempt> m_attempts;
};

} // namespace almondmoor
