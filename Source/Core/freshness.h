// Decides whether a host's configuration is recent enough to act on.
//
// A change is accepted once it is committed in the platform's table service and a majority of the member hosts hold
// it. A host is fresh if one of two things happened within the last `freshness_settings::ttl`:
//
// - by store: the store's head version was read, and the host holds that version or a newer one;
// - by quorum: a majority of the members reported versions that are not newer than the one that the host holds.
//
// Any two majorities of one membership share a host. So a host that lacks a change accepted longer ago than the TTL is
// not fresh. A membership change waits until the previous one is confirmed. Successive memberships differ by one host,
// so their majorities still intersect.
//
// A version report is dated by the receiver's own clock: by the receiver's stamp that the message echoes, minus the age
// that a relay stated for the report of a third host. Clocks of two hosts are never compared.

#pragma once

#include "Core/configuration.h"
#include "Core/core_time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace almondmoor {

struct freshness_settings {
    // A host whose configuration was last known to be current longer ago than this stops serving keyed routes.
    duration ttl = std::chrono::milliseconds(3'500);
    // Allowance for clock drift, which a host adds to the TTL when it waits for other hosts to stop acting on theirs.
    duration driftMargin = std::chrono::milliseconds(500);
    // False only in comparisons, where freshness is decided by store reads alone.
    bool countVersionReports = true;
};

// A host's report that it held a version at an instant.
struct version_report {
    std::string host;
    std::uint64_t incarnation = 0;
    config_version version = 0;
    instant at;
};

class freshness {
public:
    explicit freshness(freshness_settings settings)
        : m_settings(settings)
    {
    }

    // Records that a store read that began at askedAt found the head at this version. Reads that began earlier than the
    // latest recorded one are ignored.
    void recordStoreRead(instant askedAt, config_version head);

    // Records a report. Reports may arrive in any order, repeatedly and through several relays.
    void recordVersionReport(const version_report&);

    // Drops the reports of hosts that are no longer members.
    void removeNonMembers(const std::map<std::string, host>& members);

    // Returns the latest instant at which the held configuration is known to have been the newest accepted one, if any.
    std::optional<instant> verifiedAt(const configuration&, const std::string& self, std::uint64_t selfIncarnation, instant now) const;

    // Returns whether that instant is recent enough to act on the configuration.
    bool isFresh(const configuration&, const std::string& self, std::uint64_t selfIncarnation, instant now) const;

    // Returns how many members are known to hold a version or a newer one.
    std::size_t countHostsWith(config_version, const configuration&, const std::string& self, std::uint64_t selfIncarnation) const;

    // Returns whether a majority of the members is known to hold a version or a newer one. If there are no members,
    // only the version that this host holds counts.
    bool isConfirmed(config_version, const configuration&, const std::string& self, std::uint64_t selfIncarnation) const;

    // Returns whether reports of a majority of the members are younger than the TTL.
    bool hasReachableMajority(const configuration&, const std::string& self, std::uint64_t selfIncarnation, instant now) const;

    // Returns the members that are not known to hold a version or a newer one.
    std::vector<std::string> hostsWithout(config_version, const configuration&, const std::string& self) const;

    const std::map<std::string, version_report>& versionReports() const { return m_versionReports; }
    std::optional<instant> storeReadAt() const { return m_storeReadAt; }
    config_version storeHead() const { return m_storeHead; }
    const freshness_settings& settings() const { return m_settings; }

private:
    freshness_settings m_settings;
    // Invariant: m_storeHead was the store's head at *m_storeReadAt.
    std::optional<instant> m_storeReadAt;
    config_version m_storeHead = 0;
    std::map<std::string, version_report> m_versionReports;
};

} // namespace almondmoor
