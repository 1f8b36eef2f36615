// Implements reader_choice: when this host should read the store, from what its
// neighbours last reported.

#include "Core/reader_choice.h"

#include "Core/rendezvous.h"

#include <algorithm>

namespace almondmoor {

namespace {

    // Returns whether one host ranks before another as reader. Hosts rank by the hash
    // of their names, and by the names if the hashes are equal.
    bool ranksBefore(const std::string& host, const std::string& other)
    {
        const auto ownHash = stableHash(host);
        const auto otherHash = stableHash(other);
        return ownHash != otherHash ? ownHash < otherHash : host < other;
    }

} // namespace

void reader_choice::recordNeighbour(const std::string& host, const std::optional<store_confirmation>& confirmation, instant now)
{
    neighbour_row& it = m_neighbours[host];
    it.lastReceivedAt = now;
    // A reader that sends no confirmation any more has stopped reading, so its last
    // confirmation expires now at the latest.
    if (it.confirmation && !confirmation)
        it.confirmation->respondedAt = std::min(it.confirmation->respondedAt, now - m_settings.confirmationTtl);
    else
        it.confirmation = confirmation;
}

void reader_choice::recordOwnConfirmation(instant respondedAt)
{
    m_ownConfirmedAt = respondedAt;
    m_mayWait = true;
}

std::optional<instant> reader_choice::ownConfirmation(instant now) const
{
    if (now - m_ownConfirmedAt >= m_settings.confirmationTtl)
        return std::nullopt;
    return m_ownConfirmedAt;
}

duration reader_choice::allowedWait(duration pause, instant now) const
{
    if (!m_mayWait || !ownConfirmation(now))
        return duration::zero();
    return std::max(duration::zero(), m_settings.confirmationInterval - pause);
}

bool reader_choice::isFresh(const neighbour_row& it, instant now) const
{
    return it.confirmation && now - it.confirmation->respondedAt < m_settings.confirmationTtl;
}

bool reader_choice::takesPrecedence(const std::string& neighbour) const
{
    return !m_isCandidate || ranksBefore(neighbour, m_host);
}

instant reader_choice::suppressedUntil() const
{
    instant until = distantPast;
    for (const auto& [host, it] : m_neighbours) {
        if (it.confirmation && takesPrecedence(host))
            until = std::max(until, it.confirmation->respondedAt + m_settings.confirmationTtl);
    }
    return until;
}

duration reader_choice::takeoverDelay(instant now) const
{
    const auto isBefore = [&](const auto& it) { return takesPrecedence(it.first) && now - it.second.lastReceivedAt < m_settings.neighbourTimeout; };
    const auto before = std::count_if(m_neighbours.begin(), m_neighbours.end(), isBefore);
    return std::min<duration>(m_settings.stagger * before, m_settings.maxStagger);
}

bool reader_choice::shouldRead(instant now) const
{
    return now >= nextReadAt(now);
}

instant reader_choice::nextReadAt(instant now) const
{
    const instant until = suppressedUntil();
    const duration delay = takeoverDelay(now);
    if (until != distantPast)
        return until + delay;
    if (m_firstReadAt == distantPast)
        return distantPast;
    return delay > duration::zero() ? m_firstReadAt + m_settings.startSpread + delay : m_firstReadAt;
}

std::optional<reader_choice::reading_neighbour> reader_choice::latestReader(instant now) const
{
    std::optional<reading_neighbour> best;
    for (const auto& [host, it] : m_neighbours) {
        if (isFresh(it, now) && (!best || it.confirmation->respondedAt > best->confirmation.respondedAt))
            best = reading_neighbour { host, *it.confirmation };
    }
    return best;
}

} // namespace almondmoor
