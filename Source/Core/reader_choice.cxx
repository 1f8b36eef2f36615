#include "Core/reader_choice.h"

#include "Core/rendezvous.h"

#include <algorithm>

namespace almondmoor {

namespace {

    // Returns whether one host's turn to read comes before another's.
    bool ranksBefore(const std::string& host, const std::string& other)
    {
        const auto own = stableHash(host);
        const auto others = stableHash(other);
        return own != others ? own < others : host < other;
    }

} // namespace

void reader_choice::noteNeighbour(const std::string& host, const std::optional<store_confirmation>& confirmation, instant now)
{
    row& it = m_rows[host];
    it.heardAt = now;
    // A reader that says no more is covered by what it said until it was heard.
    if (it.confirmation && !confirmation)
        it.confirmation->at = std::min(it.confirmation->at, now - m_settings.freshLimit);
    else
        it.confirmation = confirmation;
}

bool reader_choice::isFresh(const row& it, instant now) const
{
    return it.confirmation && now - it.confirmation->at < m_settings.freshLimit;
}

bool reader_choice::isPreferred(const std::string& neighbour) const
{
    return !m_isWilling || ranksBefore(neighbour, m_host);
}

instant reader_choice::coveredUntil() const
{
    instant until = distantPast;
    for (const auto& [host, it] : m_rows) {
        if (it.confirmation && isPreferred(host))
            until = std::max(until, it.confirmation->at + m_settings.freshLimit);
    }
    return until;
}

duration reader_choice::turnDelay(instant now) const
{
    const auto isBefore = [&](const auto& it) { return isPreferred(it.first) && now - it.second.heardAt < m_settings.heardLimit; };
    const auto before = std::count_if(m_rows.begin(), m_rows.end(), isBefore);
    return std::min<duration>(m_settings.stagger * before, m_settings.longestStagger);
}

bool reader_choice::reads(instant now) const
{
    return now >= nextReadAt(now);
}

instant reader_choice::nextReadAt(instant now) const
{
    const instant until = coveredUntil();
    return until == distantPast ? distantPast : until + turnDelay(now);
}

std::optional<store_confirmation> reader_choice::confirmation(instant now) const
{
    const store_confirmation* best = nullptr;
    for (const auto& [host, it] : m_rows) {
        if (isFresh(it, now) && (!best || it.confirmation->at > best->at))
            best = &*it.confirmation;
    }
    return best ? std::optional(*best) : std::nullopt;
}

} // namespace almondmoor
