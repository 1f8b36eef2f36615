#include "Core/request_progress.h"

#include <algorithm>
#include <stdexcept>

namespace almondmoor {

namespace {

    bool isRunning(const attempt& it)
    {
        return it.stage == attempt_stage::Connecting || it.stage == attempt_stage::Sent;
    }

    void require(bool condition, const char* message)
    {
        if (!condition)
            throw std::logic_error(message);
    }

} // namespace

bool request_progress::mayBeginAttempt() const
{
    const auto blocks = [this](const attempt& it) {
        if (isRunning(it) || it.stage == attempt_stage::Answered)
            return true;
        return it.stage == attempt_stage::Lost && !m_repeatable;
    };
    return std::none_of(m_attempts.begin(), m_attempts.end(), blocks);
}

unsigned request_progress::beginAttempt(std::string upstream)
{
    require(mayBeginAttempt(), "an attempt was begun that the earlier ones forbid");
    const auto number = static_cast<unsigned>(m_attempts.size() + 1);
    m_attempts.push_back(attempt { number, std::move(upstream), attempt_stage::Connecting });
    return number;
}

attempt& request_progress::running(unsigned number)
{
    require(number == m_attempts.size() && number > 0, "an event names an attempt that is not the present one");
    auto& present = m_attempts.back();
    require(isRunning(present), "an event names an attempt that has ended");
    return present;
}

void request_progress::markSent(unsigned number)
{
    running(number).stage = attempt_stage::Sent;
}

void request_progress::markNotStarted(unsigned number, bool saidByUpstream)
{
    auto& present = running(number);
    require(present.stage == attempt_stage::Connecting || saidByUpstream, "a sent attempt cannot be called not started");
    present.stage = attempt_stage::NotStarted;
}

void request_progress::markLost(unsigned number)
{
    auto& present = running(number);
    present.stage = present.stage == attempt_stage::Connecting ? attempt_stage::NotStarted : attempt_stage::Lost;
}

void request_progress::markAnswered(unsigned number)
{
    auto& present = running(number);
    require(present.stage == attempt_stage::Sent, "an answer came to an attempt that was never sent");
    present.stage = attempt_stage::Answered;
}

outcome request_progress::currentOutcome() const
{
    const auto has = [this](attempt_stage stage) {
        return std::any_of(m_attempts.begin(), m_attempts.end(), [stage](const attempt& it) { return it.stage == stage; });
    };
    if (has(attempt_stage::Answered))
        return outcome::Ran;
    return has(attempt_stage::Lost) || has(attempt_stage::Sent) ? outcome::Unknown : outcome::NotRun;
}

} // namespace almondmoor
