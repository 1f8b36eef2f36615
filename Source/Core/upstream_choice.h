// Choice of the upstream that is expected to serve a request best.
//
// Each candidate has an expected cost in seconds: the time that its queue and
// its own speed are expected to take, the distance, and what a failure would
// cost, weighted by the probability that the upstream is failing. The cheapest
// candidate is taken.
//
// That probability follows Bayes' rule over a model with two states, sound and
// failing: work moves it by how likely each state makes the result, and time
// moves it towards how common failing upstreams are. An upstream that was not
// used for a while is therefore less certain than one that just worked, and
// requests that must not be repeated keep to the latter. Idempotent requests,
// which can be sent again, find out about the others.
//
// Hosts of one data centre tell each other what they have in flight and what
// became of it, so that they do not meet at full upstreams and learn of a
// failing one together. Failures are told to the other data centres too. Hosts
// that believe the same would choose the same and crowd it; so each prefers other
// upstreams a little, and goes by its own use of them when it explores.
//
// Belief alone must not decide whether an upstream is used, since only use can
// correct it. So the hosts of a data centre answer together for each of its
// upstreams: one that none of them used for a while is due for a trial, whatever
// it is expected to cost. They take turns in the order of their preference, so that
// one host makes the trial if it has a request, and the next one if it has none; where
// none has any, they ask the next data centre.
//
// The class has no lock and no clock.

#pragma once

#include "Core/core_time.h"
#include "Core/upstream_health.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace almondmoor {

// How far an upstream is from this host.
enum class distance_tier {
    SameDataCentre,
    SameRegion,
    OtherRegion
};

inline constexpr name_table<distance_tier, 3> distanceTierNames { {
    { distance_tier::SameDataCentre, "near" },
    { distance_tier::SameRegion, "region" },
    { distance_tier::OtherRegion, "far" },
} };

// An upstream as service discovery describes it.
struct directory_entry {
    // Names one start of the upstream's process.
    std::string id;
    std::string address;
    std::string service;
    std::string dataCentre;
    unsigned slots = 1;
    // Gets no new work.
    bool isLeaving = false;
    // Slow until this instant, after its start.
    instant coldUntil = distantPast;
};

using upstream_directory = std::map<std::string, directory_entry>;

// Regions by data centre.
using region_map = std::map<std::string, std::string>;

// Returns whether two data centres are known to lie in the same region.
bool isSameRegion(const region_map&, const std::string& dataCentre, const std::string& other);

// How often upstreams begin and cease to fail, and what their work looks like
// meanwhile.
struct failure_model {
    // Per second.
    double onsetRate = 0.02;
    double endRate = 0.12;
    // Probability of each result while failing and while sound.
    double lostWhileFailing = 0.85;
    double lostWhileSound = 0.003;
    double errorWhileFailing = 0.4;
    double errorWhileSound = 0.015;
    double goodWhileFailing = 0.2;
    double goodWhileSound = 0.98;
};

struct choice_settings {
    failure_model failures;
    // Latency that is expected of a service before any answer.
    duration firstLatency = std::chrono::milliseconds(150);
    // Costs of crossing to another data centre or region, as parts of the target
    // latency: such links are billed.
    double sameRegionCost = 0.2;
    double otherRegionCost = 0.6;
    // Cost of a failure that cannot be made good, as a multiple of the target
    // latency.
    double failureCost = 2.5;
    // Cost of sending an idempotent request again, beyond the time that the
    // failure took.
    duration repeatCost = std::chrono::milliseconds(200);
    // Each second that an upstream of this data centre was not used counts for it
    // by this much, so that each shows how it is and none stays idle.
    duration explorationPerSecond = std::chrono::milliseconds(200);
    duration longestExploration = std::chrono::milliseconds(2500);
    // Cost of meeting an upstream that shed load a moment ago.
    duration shedCost = std::chrono::milliseconds(300);
    duration shedMemory = std::chrono::milliseconds(300);
    // Weight of a new latency in an upstream's average.
    double latencyWeight = 0.2;
    // Time over which an upstream's latency goes back to that of its service.
    duration latencyMemory = std::chrono::seconds(8);
    // Part of the latency that each busy slot adds, for upstreams that slow down
    // when nearly full.
    double crowdingCost = 0.25;
    // Latency factor of an upstream that has just started.
    double coldFactor = 2;
    // Random part of the cost that keeps hosts from choosing alike.
    double jitter = 0.1;
    // Largest cost by which a host prefers some upstreams to others, each host
    // different ones, as part of the latency. It keeps hosts that see the same from
    // meeting at the same upstream.
    double preferenceCost = 0.4;
    // Neighbours hear of a good answer if the upstream was believed to be failing
    // with this probability or more, or if its latency is this multiple of the usual
    // or its average latency was. Hosts that all heard of all good answers would
    // crowd the upstreams that gave the latest.
    double suspectProbability = 0.2;
    double slowAnswerFactor = 4;
    double slowUpstreamFactor = 2;
    // This host avoids an upstream that it cannot reach for this long, twice as
    // long with each further failure.
    duration firstAvoidance = std::chrono::milliseconds(500);
    duration longestAvoidance = std::chrono::seconds(4);
    // What a host said of its work in flight is forgotten after this time.
    duration sightLimit = std::chrono::milliseconds(1500);
    // Work for an upstream of this data centre is due this long after the last that
    // any of its hosts sent there: as a trial by a request that can be sent again,
    // and by one that must not be. Trials in vain double the pause.
    duration repeatableTrialPause = std::chrono::milliseconds(600);
    duration otherTrialPause = std::chrono::milliseconds(1000);
    duration longestTrialPause = std::chrono::seconds(4);
    // The hosts of a data centre take their turns at a due upstream over this time.
    duration turnSpan = std::chrono::milliseconds(400);
    // An upstream is idle if no host of its data centre made the trial for this long
    // after the last turn; other data centres are asked to.
    duration idleMargin = std::chrono::milliseconds(100);
    // What another data centre asks for is forgotten after this time.
    duration wantedMemory = std::chrono::seconds(1);
    // Part of an upstream's slots from which neighbours should hear at once that one
    // more is taken.
    double busyPart = 0.99;
    // Requests that may be queued at an upstream for each of its slots.
    double longestQueuePerSlot = 3;
};

// What a request needs of an upstream.
struct choice_question {
    std::string service;
    // Whether a failure could be made good by sending the request again.
    bool mayFail = false;
    const std::set<std::string>* tried = nullptr;
    // Time left for the answer.
    duration timeLeft {};
    // Time within which an answer has its full worth; costs are measured by it.
    duration targetLatency {};
};

// Why no upstream was chosen.
enum class choice_refusal {
    // None is known, or all are leaving.
    NoUpstream,
    // All are expected to answer too late.
    NoRoom
};

struct choice_result {
    // Null if none was chosen. Valid until the directory changes.
    const directory_entry* upstream = nullptr;
    distance_tier tier = distance_tier::SameDataCentre;
    choice_refusal refusal = choice_refusal::NoUpstream;
    // Whether the request is a trial: no host of the data centre used the upstream
    // for a while.
    bool isTrial = false;
    // What was known of the upstream: whether half of its slots or more were
    // taken, requests in flight there, and its probability of failing.
    bool isBusy = false;
    unsigned inFlight = 0;
    double failing = 0;
    // For refusals: when room is expected.
    duration roomIn {};
};

// Who should hear how an attempt ended.
enum class finish_audience {
    Nobody,
    // It is not what hosts of the same data centre expect.
    DataCentre,
    // The upstream looks failing by now and did not before.
    Fleet
};

// An upstream of this data centre that is due for work, though all hosts there had
// their turns, and what this host believes of it.
struct idle_upstream {
    std::string id;
    std::string service;
    duration idleFor {};
    // Probability that it is failing.
    double failing = 0;
    // Average latency relative to its service.
    double slowness = 1;
    // Average seconds that its failures took to show.
    double failureTime = 0;
    unsigned inFlight = 0;
    // Whether this host could not reach it of late.
    bool isAvoided = false;
    // Seconds by which its expected cost exceeds that of the best upstream of its
    // service, for a request that can be sent again and for one that must not be.
    double repeatableExcess = 0;
    double otherExcess = 0;
};

class upstream_choice {
public:
    // The seed tells hosts apart.
    upstream_choice(choice_settings settings, std::string dataCentre, region_map regions, std::uint64_t seed = 0)
        : m_settings(settings)
        , m_seed(seed)
        , m_dataCentre(std::move(dataCentre))
        , m_regions(std::move(regions))
    {
    }

    // Follows the directory. What is known of entries that stay is kept.
    void adopt(const upstream_directory&, instant now);

    // Chooses an upstream and counts a request in flight there.
    choice_result choose(const choice_question&, instant now, std::mt19937_64& random);

    // Ends a request in flight, and takes in what became of it. Returns who should
    // hear of it.
    finish_audience finish(const std::string& id, attempt_result, duration latency, instant now);

    // Ends a request in flight that says nothing about the upstream.
    void release(const std::string& id);

    // Takes in evidence of another host. It does not count as a use of the upstream,
    // so that each host goes on finding out for itself.
    void noteRemote(const std::string& id, attempt_result, duration latency, instant now);

    // Replaces what another host of the data centre has in flight.
    void setInFlight(const std::string& host, const std::map<std::string, unsigned>& counts, instant now);

    // Returns what this host has in flight, by upstream.
    std::map<std::string, unsigned> ownInFlight() const;

    // Returns the upstreams to which this host sent work since the last call.
    std::vector<std::string> takeStarted();

    // Takes in that another host of the data centre sent work to an upstream.
    void noteRemoteStart(const std::string& id, instant now);

    // Returns the upstreams of this data centre that are idle, each again when it is
    // still so after as long a time; one host of the data centre gets each.
    std::vector<idle_upstream> takeIdle(instant now);

    // Makes an upstream of another data centre due for work from this one.
    void want(const std::string& id, instant now);

    // Returns whether a service has an upstream beside those that were tried.
    bool hasOther(const std::string& service, const std::set<std::string>& tried) const;

    // Returns whether a dispatch chosen earlier may still go to an upstream.
    bool takesNewWork(const std::string& id) const;

    // Returns the probability that an upstream is failing; zero if unknown.
    double failingProbability(const std::string& id) const;

    std::size_t size() const { return m_rows.size(); }

private:
    struct row {
        directory_entry entry;
        distance_tier tier = distance_tier::SameDataCentre;
        // Where it stands in this host's preference, from 0 for the first to 1.
        double preference = 0;
        unsigned ownInFlight = 0;
        // Invariant: the sum of what all peers have in flight there.
        unsigned peersInFlight = 0;
        // Probability that it is failing, as of an instant.
        double failing = 0;
        instant failingAt = distantPast;
        // Latest use by this host.
        instant usedAt = distantPast;
        // Latest use by a host of this data centre, as far as was heard.
        instant startedAt = distantPast;
        // Whether this host sent work since its last report.
        bool isStartUntold = false;
        // Attempts in series that failed or were slow.
        unsigned attemptsInVain = 0;
        // When takeIdle() last returned it.
        instant idleToldAt = distantPast;
        // When its data centre asked this one to send it work.
        instant wantedAt = distantPast;
        // Average latency in seconds relative to its service.
        double slowness = 1;
        instant slownessAt = distantPast;
        // Average seconds that failures took to show.
        double failureTime = 0;
        instant shedAt = distantPast;
        unsigned failedConnects = 0;
        instant avoidUntil = distantPast;
    };

    // Average latency of a service; the latency that is expected of any service
    // counts as its first samples.
    struct latency_average {
        double seconds = 0;
        unsigned samples = 0;
    };

    struct peer_row {
        // Orders upstreams for the peer as m_seed does for this host.
        std::uint64_t seed = 0;
        std::map<std::string, unsigned> counts;
        instant heardAt = distantPast;
    };

    void note(row&, attempt_result, duration latency, instant now) const;
    // Returns whether a result is not what is believed of the upstream.
    bool isUnexpected(const row&, attempt_result, duration latency) const;
    // Returns the probability that an upstream of which nothing is known is failing.
    double commonProbability() const;
    // Moves what is believed of an upstream on to an instant.
    void age(row&, instant now) const;
    void weigh(row&, double whileFailing, double whileSound) const;
    double serviceLatency(const std::string& service) const;
    void noteServiceLatency(const std::string& service, duration latency);
    // Returns the seconds that a request would wait for a slot.
    double waitAt(const row&, double latency) const;
    double costOf(const row&, const choice_question&, double latency, instant now) const;
    // Returns for how long a trial of an upstream by this host has been due;
    // negative if none is.
    duration trialDueFor(const row&, const choice_question&, instant now) const;
    // Returns how long after the last work the next is due.
    duration trialPauseOf(const row&, bool mayFail) const;
    // Returns the turn of this host at an upstream among those of its data centre,
    // from 0 for the first.
    double turnAt(const row&) const;
    // Counts a request in flight at a chosen upstream.
    choice_result begin(row&, bool isTrial, instant now) const;
    // Returns the expected cost of the best upstream of a service.
    double leastCost(const choice_question&, instant now);
    void noteStart(row&, instant now) const;
    void forgetSilentPeers(instant now);
    // Adds what a peer has in flight to the rows, or takes it off.
    void countPeer(const peer_row&, int sign);
    void countPeers();
    distance_tier tierOf(const std::string& dataCentre) const;

    choice_settings m_settings;
    std::uint64_t m_seed;
    std::string m_dataCentre;
    region_map m_regions;
    std::map<std::string, row> m_rows;
    // Rows of each service; they point into m_rows, whose rows never move.
    std::map<std::string, std::vector<row*>> m_byService;
    std::map<std::string, latency_average> m_serviceLatency;
    // Target latency of the latest request for each service.
    std::map<std::string, duration> m_target;
    std::map<std::string, peer_row> m_peers;
};

} // namespace almondmoor
