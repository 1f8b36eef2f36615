// Decides which host of a data centre asks others for tokens of a team, when, and what a host does with such a request.
//
// In each data centre one host per team, chosen by a hash of both among the reachable hosts, asks and lends. So no two
// hosts lend the same tokens, and the number of messages depends on the teams that are short, not on the hosts. Nothing
// is agreed: if two hosts both think that it is their turn, each lends at most what its own bucket holds, which the
// neighbours deduct with the next report.
//
// The class takes no lock and reads no clock.

#pragma once

#include "Core/team_quota.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace almondmoor {

// Asks a host of another data centre for tokens.
struct token_request {
    std::string team;
    double tokens = 0;
    // Identifies the request at its sender.
    std::uint64_t number = 0;
    // Requests for tokens of this team before it that got no answer, in a row. Not sent.
    unsigned unanswered = 0;
};

struct token_grant {
    std::string team;
    double tokens = 0;
    // Number of the request.
    std::uint64_t number = 0;
};

struct lending_settings {
    // Minimum time between two requests for tokens of one team. Doubles with each request in a row that got no token,
    // up to maxInterval.
    duration interval = std::chrono::milliseconds(40);
    duration maxInterval = std::chrono::milliseconds(640);
    // A request without a grant is given up after this time; a grant that arrives later is dropped.
    duration requestTimeout = std::chrono::milliseconds(200);
};

// Returns the host of a data centre that a request goes to: the responsible one, or the next in rank if the last request
// got no answer. The hosts must not be empty.
std::string chooseLender(const token_request&, const std::vector<std::string>& hosts);

class token_lending {
public:
    token_lending(lending_settings settings, std::string host)
        : m_settings(settings)
        , m_host(std::move(host))
    {
    }

    // Returns the requests to send now. The neighbours are the reachable ones.
    std::vector<token_request> takeRequests(team_quota&, const std::vector<std::string>& neighbours, instant now);

    // Returns what this host lends, which may be no token, or nothing if another host of its data centre lends tokens of
    // this team.
    std::optional<token_grant> lend(team_quota&, const token_request&, const std::vector<std::string>& neighbours, instant now) const;

    // Adds granted tokens. Drops a grant that answers none of this host's requests or was received before.
    void recordGrant(team_quota&, const token_grant&, instant now);

private:
    struct pending_request {
        std::uint64_t number = 0;
        instant sentAt = distantPast;
        bool isAnswered = true;
        // Requests in a row that got no token, and no answer.
        unsigned failures = 0;
        unsigned unanswered = 0;
    };

    // Returns whether this host asks and lends for a team.
    bool isResponsible(const std::string& team, const std::vector<std::string>& neighbours) const;

    lending_settings m_settings;
    std::string m_host;
    std::uint64_t m_lastNumber = 0;
    // Latest request by team.
    std::map<std::string, pending_request> m_pending;
};

} // namespace almondmoor
