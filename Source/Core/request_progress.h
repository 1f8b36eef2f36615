// The progress of one request through its attempts, and what may be claimed
// about it at each point.
//
// The class answers two questions that must never be guessed: whether another
// dispatch is allowed, and whether the action may have run. A transition that
// the state does not justify throws std::logic_error.

#pragma once

#include "Core/outcome.h"

#include <cstdint>
#include <string>
#include <vector>

namespace almondmoor {

// How far one attempt has come.
enum class attempt_stage {
    // No byte of the request has been handed to the connection.
    Connecting,
    // At least one byte may have reached the upstream.
    Sent,
    // It ended before any byte was sent, or the upstream said it did not start.
    NotStarted,
    // It ended after bytes were sent, without a whole answer.
    Lost,
    // A whole answer arrived, or has begun to be passed to the guest.
    Answered
};

inline constexpr name_table<attempt_stage, 5> attemptStageNames { {
    { attempt_stage::Connecting, "connecting" },
    { attempt_stage::Sent, "sent" },
    { attempt_stage::NotStarted, "not-started" },
    { attempt_stage::Lost, "lost" },
    { attempt_stage::Answered, "answered" },
} };

struct attempt {
    unsigned number = 0;
    std::string upstream;
    attempt_stage stage = attempt_stage::Connecting;
};

class request_progress {
public:
    explicit request_progress(bool repeatable)
        : m_repeatable(repeatable)
    {
    }

    // Returns whether a new attempt may begin now: never while one is running,
    // never after an answer, and for a request that is not repeatable never
    // after an attempt that may have run.
    bool mayBeginAttempt() const;

    // Begins an attempt and returns its number, counted from 1.
    unsigned beginAttempt(std::string upstream);

    // Records that the next write may put bytes on the wire. Call it before the
    // write, so that a crash in between errs towards "unknown".
    void markSent(unsigned number);

    // Records that an attempt ended without having been started. After
    // markSent() this is allowed only if the upstream itself said so.
    void markNotStarted(unsigned number, bool saidByUpstream);

    void markLost(unsigned number);
    void markAnswered(unsigned number);

    // Returns what may be claimed about the request now.
    outcome currentOutcome() const;

    const std::vector<attempt>& attempts() const { return m_attempts; }

private:
    attempt& running(unsigned number);

    bool m_repeatable;
    // Invariant: only the last attempt can be in stage Connecting or Sent.
    std::vector<attempt> m_attempts;
};

} // namespace almondmoor
