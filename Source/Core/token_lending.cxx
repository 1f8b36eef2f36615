#include "Core/token_lending.h"

#include "Core/rendezvous.h"

#include <algorithm>

namespace almondmoor {

namespace {

    // Entries of teams that asked long ago are removed.
    constexpr duration pendingTtl = std::chrono::seconds(30);
    constexpr unsigned maxDoublings = 8;
    // Hosts of a data centre that are asked in turn while nobody answers.
    constexpr std::size_t lenderCandidates = 2;

} // namespace

std::string chooseLender(const token_request& request, const std::vector<std::string>& hosts)
{
    const std::uint64_t seed = stableHash(request.team);
    std::vector<std::string> ranked = hosts;
    const std::size_t candidates = std::min(ranked.size(), lenderCandidates);
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(candidates), ranked.end(),
        [seed](const std::string& left, const std::string& right) { return stableHash(left, seed) > stableHash(right, seed); });
    return ranked[request.unanswered % candidates];
}

bool token_lending::isResponsible(const std::string& team, const std::vector<std::string>& neighbours) const
{
    const std::uint64_t seed = stableHash(team);
    const std::uint64_t own = stableHash(m_host, seed);
    return std::all_of(neighbours.begin(), neighbours.end(), [&](const std::string& it) { return stableHash(it, seed) <= own; });
}

std::vector<token_request> token_lending::takeRequests(team_quota& quota, const std::vector<std::string>& neighbours, instant now)
{
    std::vector<token_request> requests;
    for (const token_shortage& shortage : quota.shortages(now)) {
        if (!isResponsible(shortage.team, neighbours))
            continue;
        pending_request& pending = m_pending[shortage.team];
        const duration interval = std::min(m_settings.interval * (1 << std::min(pending.failures, maxDoublings)), m_settings.maxInterval);
        if (now - pending.sentAt < (pending.isAnswered ? interval : std::max(interval, m_settings.requestTimeout)))
            continue;
        pending = { ++m_lastNumber, now, false, pending.failures + 1, pending.isAnswered ? 0 : pending.unanswered + 1 };
        requests.push_back({ shortage.team, shortage.missing, pending.number, pending.unanswered });
    }
    std::erase_if(m_pending, [now](const auto& it) { return now - it.second.sentAt > pendingTtl; });
    return requests;
}

std::optional<token_grant> token_lending::lend(team_quota& quota, const token_request& request, const std::vector<std::string>& neighbours, instant now) const
{
    if (!isResponsible(request.team, neighbours))
        return std::nullopt;
    // A grant of zero tells the sender to ask elsewhere.
    return token_grant { request.team, quota.lend(request.team, request.tokens, now), request.number };
}

void token_lending::recordGrant(team_quota& quota, const token_grant& grant, instant now)
{
    const auto found = m_pending.find(grant.team);
    if (found == m_pending.end() || found->second.number != grant.number || found->second.isAnswered)
        return;
    found->second.isAnswered = true;
    if (grant.tokens > 0)
        found->second.failures = 0;
    quota.borrow(grant.team, grant.tokens, now);
}

} // namespace almondmoor
