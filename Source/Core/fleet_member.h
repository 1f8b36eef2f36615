// One host's part in the fleet's shared state: the configuration and its
// freshness, evidence about upstreams on its way between hosts, the allowances
// whose home the host is, and the roster.
//
// In each data centre two hosts, the relays, read the store and pass on what
// they know; the others exchange with them. All hosts are equal: relays follow
// from the roster and from who was heard, by rendezvous order.
//
// The class is driven by messages, store reads and ticks. It has no clock and
// sends nothing itself; it returns what is to be sent.

#pragma once

#include "Core/freshness.h"
#include "Core/peer_message.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace almondmoor {

struct member_settings {
    std::string host;
    std::uint64_t incarnation = 1;
    std::string peerAddress;
    std::string dataCentre;
    freshness_limits freshness;
    allowance_settings allowance;
    duration exchangeInterval = std::chrono::milliseconds(250);
    duration storePollInterval = std::chrono::milliseconds(250);
    // A peer unheard for this long is passed over as a relay.
    duration suspectAfter = std::chrono::seconds(2);
    // A host unheard for this long is proposed for removal from the roster.
    duration deadAfter = std::chrono::seconds(10);
    // Changes kept in memory for peers that lag; others get a snapshot.
    std::size_t historyLength = 2'000;
    // Reports of evidence kept for peers that have not had them yet.
    std::size_t evidenceLength = 4'000;
    unsigned relaysPerDataCentre = 2;
};

// A sample that another host took.
struct remote_sample {
    std::string host;
    std::string dataCentre;
    attempt_sample sample;
};

// What a step left to be done by the host.
struct member_effects {
    // True if the held configuration is newer than before.
    bool advanced = false;
    // Whether the host was fresh just before it advanced.
    bool wasFresh = false;
    // Whether the host is in the roster without having been taken off it since.
    bool isMember = false;
    std::vector<share_grant> grants;
    std::vector<remote_sample> samples;
    std::vector<outgoing_message> messages;
};

// A host outside the roster that may be asked for the configuration.
struct known_peer {
    std::string name;
    std::string address;
};

class fleet_member {
public:
    explicit fleet_member(member_settings settings);

    // Sets where to ask while the roster is unknown, from the platform's list.
    void setBootstrapPeers(std::vector<known_peer> peers) { m_bootstrapPeers = std::move(peers); }

    // Runs the periodic work. Reports and samples are what the traffic core has
    // collected since the last tick.
    member_effects tick(std::vector<share_report> reports, std::vector<attempt_sample> samples, instant now);

    // Returns messages for share reports that cannot wait for the next tick.
    // Reports to this host itself are answered at once.
    member_effects sendReports(std::vector<share_report> reports, instant now);

    // Takes in a message, a request or a reply alike.
    member_effects receive(const peer_message&, instant now);

    // Returns the reply to a request that receive() has taken in.
    peer_message reply(const peer_message& request, instant now);

    // Returns whether the store is to be read now.
    bool isStorePollDue(instant now) const;
    void noteStorePoll(instant now) { m_storePolledAt = now; }

    // Takes in a store read that began at an instant: the head's version and
    // the changes after the held version.
    member_effects noteStoreRead(instant askedAt, config_version head, const std::vector<change>& changes, instant now);

    // Takes in a whole configuration from the object store.
    member_effects noteSnapshot(const configuration&, instant now);

    // Commands that this host should now try to commit: removal of dead hosts
    // and homes for shards that have none.
    std::vector<std::string> proposals(instant now) const;

    // Commands that give the shards of this host to others, for a planned stop.
    std::vector<std::string> handOffCommands(instant now) const;

    // Returns up to which instant the held configuration may be acted on.
    instant freshUntil(instant now) const;
    bool isFresh(instant now) const;

    // Returns whether this host's incarnation is in the roster.
    bool isInRoster() const;

    // Returns the incarnation under which the host joins. It grows when the
    // host has been taken off the roster, so that it never returns unnoticed.
    std::uint64_t incarnation() const { return m_settings.incarnation; }

    // Returns whether a change of the roster may be committed now.
    bool mayChangeRoster() const;
    bool isConfirmed(config_version) const;
    bool hasReachableMajority(instant now) const;
    std::size_t holdersOf(config_version) const;
    std::vector<std::string> hostsWithout(config_version) const;

    bool isRelay(instant now) const;

    // Returns whether this host takes another for a relay of its data centre.
    bool isRelayNamed(const std::string& host, instant now) const;

    // Returns the address at which peers reach this host.
    const std::string& address() const { return m_settings.peerAddress; }

    std::shared_ptr<const configuration> held() const { return m_held; }
    const freshness& evidence() const { return m_freshness; }
    const allowance_home& home() const { return m_home; }
    const std::deque<change>& history() const { return m_history; }

private:
    struct peer_row {
        std::int64_t lastStamp = 0;
        std::uint64_t incarnation = 0;
        // Highest index of the evidence log that the peer has been sent.
        std::uint64_t evidenceSent = 0;
        std::optional<instant> heardAt;
    };

    struct logged_evidence {
        std::uint64_t index = 0;
        std::string learnedFrom;
        evidence_report report;
    };

    // When this host learned that another joined the roster.
    struct joined_row {
        std::uint64_t incarnation = 0;
        instant at = distantPast;
    };

    struct origin_row {
        std::uint64_t incarnation = 0;
        std::set<std::uint64_t> recent;
    };

    peer_message makeMessage(const std::string& to, bool withStatements, instant now);
    void addChanges(peer_message&, config_version after) const;
    void addEvidence(peer_message&, const std::string& to, bool ownOnly);
    void noteDates(const peer_message&, instant now);
    bool advance(const std::vector<change>& changes, member_effects&, instant now);
    void adopted(member_effects&, bool wasFresh, instant now);
    void logEvidence(const evidence_report&, const std::string& from);
    bool isNewEvidence(const evidence_report&);
    // Assigns shards to the hosts that their names prefer among candidates.
    std::vector<std::string> assignCommands(const std::vector<unsigned>& shards, const std::vector<std::string>& candidates) const;
    void push(member_effects&, bool toOtherDataCentres, instant now);
    std::vector<std::string> relaysOf(const std::string& dataCentre, instant now) const;
    bool isHeard(const std::string& host, instant now) const;
    instant lastHeardAt(const std::string& host) const;
    std::vector<std::string> exchangePeers(instant now) const;
    outgoing_message envelope(message_kind, const std::string& peer, peer_message) const;
    bool isProposer(instant now) const;

    member_settings m_settings;
    std::shared_ptr<const configuration> m_held;
    // Invariant: contiguous versions that end at the held version.
    std::deque<change> m_history;
    freshness m_freshness;
    allowance_home m_home;
    std::map<std::string, peer_row> m_peers;
    std::vector<known_peer> m_bootstrapPeers;
    std::deque<logged_evidence> m_evidence;
    std::uint64_t m_nextEvidence = 1;
    std::uint64_t m_nextReport = 1;
    std::map<std::string, origin_row> m_origins;
    bool m_wasInRoster = false;
    std::optional<instant> m_exchangedAt;
    std::optional<instant> m_storePolledAt;
    std::map<std::string, joined_row> m_joinedAt;
};

} // namespace almondmoor
