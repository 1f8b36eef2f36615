// Evidence that a host's configuration is recent enough to act on.
//
// A change counts as accepted once it is committed in the platform's table
// service and a majority of the roster's hosts hold it. A host is fresh if,
// within the limit, either the store's head was read and the host holds that
// version (evidence by store), or a majority of the roster stated versions that
// the host holds (evidence by quorum). Two majorities of one roster share a
// host, so a change accepted longer ago than the limit is either held by a host
// or that host is not fresh. Roster changes wait until the previous one is
// confirmed; adjacent rosters differ by one host and their majorities still
// intersect.
//
// Statements are dated by the receiver's clock at the time it asked, minus the
// age given by a relay, so that no two clocks are ever compared.

#pragma once

#include "Core/configuration.h"
#include "Core/core_time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace almondmoor {

struct freshness_limits {
    // A host without evidence for this long stops serving keyed routes.
    duration limit = std::chrono::milliseconds(3'500);
    // Added by those who wait for others to have stopped.
    duration driftMargin = std::chrono::milliseconds(500);
    // Switch for comparisons: go by store reads alone.
    bool countStatements = true;
};

// A host's word that it held a version at an instant.
struct version_statement {
    std::string host;
    std::uint64_t incarnation = 0;
    config_version version = 0;
    instant at;
};

class freshness {
public:
    explicit freshness(freshness_limits limits)
        : m_limits(limits)
    {
    }

    // Records that a store read, begun at an instant, found the head at a version.
    void noteStoreRead(instant askedAt, config_version head);

    // Records a statement. Statements may arrive in any order, repeatedly and
    // through several relays.
    void noteStatement(const version_statement&);

    // Drops statements by hosts that the roster no longer has.
    void forgetOthersThan(const std::map<std::string, host>& roster);

    // Returns the latest instant at which the held configuration is known to
    // have been the newest accepted one, if there is any.
    std::optional<instant> evidenceAt(const configuration&, const std::string& self, std::uint64_t selfIncarnation, instant now) const;

    // Returns whether evidence is recent enough to act on the configuration.
    bool isFresh(const configuration&, const std::string& self, std::uint64_t selfIncarnation, instant now) const;

    // Returns how many hosts of the roster are known to hold a version.
    std::size_t holdersOf(config_version, const configuration&, const std::string& self, std::uint64_t selfIncarnation) const;

    // Returns whether a majority of the roster is known to hold a version. A
    // roster of one or none has its majority in this host itself.
    bool isConfirmed(config_version, const configuration&, const std::string& self, std::uint64_t selfIncarnation) const;

    // Returns whether a majority of the roster was heard within the limit.
    bool hasReachableMajority(const configuration&, const std::string& self, std::uint64_t selfIncarnation, instant now) const;

    // Returns the hosts of the roster that are not known to hold a version.
    std::vector<std::string> hostsWithout(config_version, const configuration&, const std::string& self) const;

    const std::map<std::string, version_statement>& statements() const { return m_statements; }
    std::optional<instant> storeReadAt() const { return m_storeReadAt; }
    config_version storeHead() const { return m_storeHead; }
    const freshness_limits& limits() const { return m_limits; }

private:
    freshness_limits m_limits;
    // Invariant: m_storeHead was the head at *m_storeReadAt.
    std::optional<instant> m_storeReadAt;
    config_version m_storeHead = 0;
    std::map<std::string, version_statement> m_statements;
};

} // namespace almondmoor
