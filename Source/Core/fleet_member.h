// One host's part in the state that the fleet shares: the configuration and its freshness, health reports about upstreams
// that are passed between hosts, the allowances whose home this host is, and the membership.
//
// In each data centre two hosts, the relays, read the store and distribute the state; the other hosts exchange messages
// with them. All hosts are equal: each host computes the relays from the membership and from the hosts that are reachable,
// by rendezvous order.
//
// The class is driven by messages, store reads and ticks. It reads no clock and sends nothing; its functions return the
// messages that the caller must send.

#pragma once

#include "Core/crash_quarantine.h"
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
    freshness_settings freshness;
    allowance_settings allowance;
    duration exchangeInterval = std::chrono::milliseconds(250);
    duration storePollInterval = std::chrono::milliseconds(250);
    // A host is unreachable if for this long nothing has been received from it, directly or through relays. Unreachable
    // hosts become relays only if there are too few others.
    duration suspectTimeout = std::chrono::seconds(2);
    // A host from which nothing has been received for this long is proposed for removal from the membership.
    duration removalTimeout = std::chrono::seconds(10);
    // Number of changes kept in memory for peers that lag. Peers further behind get a snapshot.
    std::size_t maxHistoryLength = 2'000;
    // Number of health reports kept for peers to which they have not been sent yet.
    std::size_t maxHealthReports = 4'000;
    unsigned relaysPerDataCentre = 2;
};

// A sample that another host collected.
struct remote_sample {
    std::string host;
    std::string dataCentre;
    attempt_sample sample;
};

// What the caller must do after a call: update the traffic core and send messages.
struct member_effects {
    // True if the held configuration is newer than before.
    bool advanced = false;
    // Whether the host was fresh just before the configuration advanced.
    bool wasFresh = false;
    // Whether the host's current incarnation is a member. Valid only if advanced is true.
    bool isMember = false;
    std::vector<share_grant> grants;
    std::vector<remote_sample> samples;
    // Requests that another host refuses.
    std::vector<quarantined_request> quarantined;
    std::vector<outgoing_message> messages;
};

// A host that may be asked for the configuration while no membership is known.
struct bootstrap_peer {
    std::string name;
    std::string address;
};

class fleet_member {
public:
    explicit fleet_member(member_settings settings);

    // Sets the hosts to ask while the membership is unknown. They come from the platform's list of hosts.
    void setBootstrapPeers(std::vector<bootstrap_peer> peers) { m_bootstrapPeers = std::move(peers); }

    // Runs the periodic tasks. Reports and samples are those that the traffic core has collected since the last tick.
    member_effects tick(std::vector<share_report> reports, std::vector<attempt_sample> samples, instant now);

    // Sets the requests that this host refuses, which each of its messages tells until the next call.
    void setQuarantinedRequests(std::vector<quarantined_request> it) { m_quarantined = std::move(it); }

    // Returns messages for share reports that cannot wait for the next tick. Reports about teams whose home is this host
    // are answered at once, with grants in the effects.
    member_effects sendShareReports(std::vector<share_report> reports, instant now);

    // Processes a received message, whether request or reply.
    member_effects receive(const peer_message&, instant now);

    // Returns the reply to a request. Call receive() with the request first.
    peer_message reply(const peer_message& request, instant now);

    // Returns whether the store should be read now.
    bool isStorePollDue(instant now) const;
    void recordStorePoll(instant now) { m_storePolledAt = now; }

    // Applies the result of a store read that began at askedAt: the head's version and the changes after the held version.
    member_effects applyStoreRead(instant askedAt, config_version head, const std::vector<change>& changes, instant now);

    // Applies a whole configuration from the object store, if it is newer than the held one.
    member_effects applySnapshot(const configuration&, instant now);

    // Returns commands that this host should try to commit now: the removal of one host that timed out, or home
    // assignments for shards without a home.
    std::vector<std::string> proposedCommands(instant now) const;

    // Returns commands that assign the shards of this host to other hosts, for a planned stop.
    std::vector<std::string> handOffCommands(instant now) const;

    // Returns the instant until which the host may act on the held configuration.
    instant freshUntil(instant now) const;
    bool isFresh(instant now) const;

    // Returns whether this incarnation of the host is a member.
    bool isMember() const;

    // Returns the incarnation with which the host joins. It increases when the host has been removed from the membership,
    // so that the other hosts can tell when it joins again.
    std::uint64_t incarnation() const { return m_settings.incarnation; }

    // Returns whether a membership change may be committed now: whether the held version is confirmed.
    bool canChangeMembership() const;
    bool isConfirmed(config_version) const;
    bool hasReachableMajority(instant now) const;
    std::size_t countHostsWith(config_version) const;
    std::vector<std::string> hostsWithout(config_version) const;

    bool isRelay(instant now) const;

    // Returns whether a host is a relay of its data centre, as far as this host can tell.
    bool isRelayHost(const std::string& host, instant now) const;

    // Returns the address at which peers reach this host.
    const std::string& address() const { return m_settings.peerAddress; }

    std::shared_ptr<const configuration> held() const { return m_held; }
    const freshness& freshnessState() const { return m_freshness; }
    const allowance_home& home() const { return m_home; }
    const std::deque<change>& history() const { return m_history; }

private:
    struct peer_row {
        std::int64_t lastStamp = 0;
        std::uint64_t incarnation = 0;
        // Index of the last health report in the log when reports were last sent to the peer.
        std::uint64_t lastSentIndex = 0;
        std::optional<instant> lastReceivedAt;
    };

    struct logged_health_report {
        std::uint64_t index = 0;
        std::string receivedFrom;
        health_report report;
    };

    // When this host first saw an incarnation of a member in the held configuration.
    struct joined_row {
        std::uint64_t incarnation = 0;
        instant at = distantPast;
    };

    // The health reports of one origin that were received already.
    struct origin_row {
        std::uint64_t incarnation = 0;
        // The highest sequences that were received, a limited number.
        std::set<std::uint64_t> recentSequences;
    };

    peer_message makeMessage(const std::string& to, bool withVersionReports, instant now);
    void addChanges(peer_message&, config_version after) const;
    void addHealthReports(peer_message&, const std::string& to, bool ownOnly);
    // Records the receipt of a message, and its version reports and store read with the instants for which they hold.
    void recordTimestamps(const peer_message&, instant now);
    // Applies those changes that follow the held version. Returns whether the held version advanced.
    bool applyChanges(const std::vector<change>& changes, member_effects&, instant now);
    // Updates all dependent state after m_held has been replaced.
    void handleNewConfiguration(member_effects&, bool wasFresh, instant now);
    void logHealthReport(const health_report&, const std::string& from);
    // Returns whether a report was not received before, and records it as received.
    bool recordIfNew(const health_report&);
    // Returns commands that assign each shard to the candidate that is first in its rendezvous order.
    std::vector<std::string> assignmentCommands(const std::vector<unsigned>& shards, const std::vector<std::string>& candidates) const;
    // Adds messages with the changes that others lack: the relays of this data centre or of all, and also the neighbours if
    // this host is a relay.
    void pushChanges(member_effects&, bool toOtherDataCentres, instant now);
    std::vector<std::string> relaysOf(const std::string& dataCentre, instant now) const;
    bool isReachable(const std::string& host, instant now) const;
    instant lastKnownAliveAt(const std::string& host) const;
    std::vector<std::string> exchangePeers(instant now) const;
    outgoing_message addressMessage(message_kind, const std::string& peer, peer_message) const;
    bool isProposer(instant now) const;

    member_settings m_settings;
    std::shared_ptr<const configuration> m_held;
    // Invariant: the versions are contiguous and end at the held version.
    std::deque<change> m_history;
    freshness m_freshness;
    allowance_home m_home;
    std::map<std::string, peer_row> m_peers;
    std::vector<bootstrap_peer> m_bootstrapPeers;
    std::deque<logged_health_report> m_healthReports;
    std::uint64_t m_nextHealthReportIndex = 1;
    std::uint64_t m_nextHealthReportSequence = 1;
    std::map<std::string, origin_row> m_origins;
    std::vector<quarantined_request> m_quarantined;
    bool m_wasMember = false;
    std::optional<instant> m_exchangedAt;
    std::optional<instant> m_storePolledAt;
    std::map<std::string, joined_row> m_joinedAt;
};

} // namespace almondmoor
