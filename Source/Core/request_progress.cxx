// Transitions of a request's attempts.

#include "Core/request_progress.h"

#include <algorithm>
#include <stdexcept>

namespace almondmoor {

namespace {

    bool isRunning(const attempt& candidate)
    {
        return candidate.stage == attempt_stage::Connecting || candidate.stage == attempt_stage::Sent;
    }

    void require(bool condition, const char* message)
    {
        if (!condition)
            throw std::logic_error(message);
    }

} // namespace

bool request_progress::canBeginAttempt() const
{
    const auto blocks = [this](const attempt& candidate) {
        if (isRunning(candidate) || candidate.stage == attempt_stage::Responded)
            return true;
        return candidate.stage == attempt_stage::Lost && !m_idempotent;
    };
    return std::none_of(m_attempts.begin(), m_attempts.end(), blocks);
}

unsigned request_progress::beginAttempt(std::string upstream)
{
    require(canBeginAttempt(), "a new attempt is not allowed after the earlier attempts");
    const auto number = static_cast<unsigned>(m_attempts.size() + 1);
    m_attempts.push_back(attempt { number, std::move(upstream), attempt_stage::Connecting });
    return number;
}

attempt& request_progress::runningAttempt(unsigned number)
{
    require(number == m_attempts.size() && number > 0, "the attempt number is not that of the latest attempt");
    auto& current = m_attempts.back();
    require(isRunning(current), "the attempt has already ended");
    return current;
}

void request_progress::markSent(unsigned number)
{
    runningAttempt(number).stage = attempt_stage::Sent;
}

void request_progress::markNotStarted(unsigned number, bool reportedByUpstream)
{
    auto& current = runningAttempt(number);
    require(current.stage == attempt_stage::Connecting || reportedByUpstream, "an attempt that was sent cannot be marked as not started");
    current.stage = attempt_stage::NotStarted;
}

void request_progress::markLost(unsigned number)
{
    auto& current = runningAttempt(number);
    current.stage = current.stage == attempt_stage::Connecting ? attempt_stage::NotStarted : attempt_stage::Lost;
}

void request_progress::markResponded(unsigned number)
{
    auto& current = runningAttempt(number);
    require(current.stage == attempt_stage::Sent, "an attempt that was not sent cannot have a response");
    current.stage = attempt_stage::Responded;
}

outcome request_progress::currentOutcome() const
{
    const auto has = [this](attempt_stage stage) {
        return std::any_of(m_attempts.begin(), m_attempts.end(), [stage](const attempt& candidate) { return candidate.stage == stage; });
    };
    if (has(attempt_stage::Responded))
        return outcome::Ran;
    return has(attempt_stage::Lost) || has(attempt_stage::Sent) ? outcome::Unknown : outcome::NotRun;
}

} // namespace almondmoor
