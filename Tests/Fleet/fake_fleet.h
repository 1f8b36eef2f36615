// Simulates a fleet in one process: the coordination core of many hosts with a simulated network, store and clock.
//
// Messages can be delayed, lost, duplicated and cut in one direction. Hosts can be paused, killed and restarted. The store
// can be unavailable or its responses can be lost. A run is determined by its seed.

#pragma once

#include "Core/fleet_member.h"
#include "Core/traffic_core.h"
#include "Platform/change_log.h"
#include "Platform/memory_platform.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace almondmoor {

struct fleet_options {
    unsigned hosts = 3;
    // Hosts are assigned to these in turn.
    std::vector<std::string> dataCentres { "lagos-1" };
    std::uint64_t seed = 1;
    // One-way delays within a data centre, within a region and between regions.
    duration nearDelay = std::chrono::microseconds(250);
    duration regionDelay = std::chrono::microseconds(500);
    duration farDelay = std::chrono::milliseconds(10);
    // Fractions of messages that are lost or duplicated.
    double lossFraction = 0;
    double duplicateFraction = 0;
    duration tickInterval = std::chrono::milliseconds(50);
    duration tokenWait = std::chrono::milliseconds(400);
    // Writes the membership and the homes of all shards to the change log before the hosts start, so that a test need not
    // wait until the hosts have set them up.
    bool startsWithMembership = true;
    // Changes the settings of each host before it starts.
    std::function<void(member_settings&, traffic_settings&)> adjust;
};

struct traffic_totals {
    std::uint64_t messages = 0;
    std::uint64_t storeReads = 0;
    std::map<message_kind, std::uint64_t> messagesByKind;
};

class fake_fleet {
public:
    explicit fake_fleet(fleet_options);

    // Advances the clock and runs all events up to then.
    void run(duration span);

    // Runs until the condition holds or the limit has passed. Returns whether the condition holds.
    bool runUntil(const std::function<bool()>& condition, duration limit);

    instant now() const { return m_now; }
    void schedule(instant, std::function<void()>);

    // Commits a change as an operator at a host would. Returns whether the store accepted the change.
    bool commit(unsigned host, const std::string& command);

    // Returns whether a host knows that a majority of the members holds a version.
    bool isAccepted(unsigned host, config_version version);

    void pause(unsigned host);
    void resume(unsigned host);
    void kill(unsigned host);
    // Starts a killed host again. Only its settings survive.
    void restart(unsigned host);

    // Drops all messages from one host to another, in this direction only.
    void cutLink(unsigned from, unsigned to) { m_cuts.insert({ from, to }); }
    void cutStore(unsigned host) { m_storeCuts.insert(host); }
    // Removes all cuts.
    void healAll();
    void setStoreUnavailable(bool isUnavailable);

    // Sends a request of a team to a host and records whether it is admitted or refused.
    void request(unsigned host, const std::string& team);

    fleet_member& member(unsigned host) { return *m_hosts[host].member; }
    traffic_core& traffic(unsigned host) { return *m_hosts[host].traffic; }
    bool isAlive(unsigned host) const { return m_hosts[host].isAlive; }
    bool isFresh(unsigned host) { return m_hosts[host].member->isFresh(m_now); }
    unsigned size() const { return static_cast<unsigned>(m_hosts.size()); }
    memory_platform& platform() { return m_platform; }
    traffic_totals& totals() { return m_totals; }
    std::mt19937_64& random() { return m_random; }

    // Returns the instants at which requests of a team were admitted, in order.
    const std::vector<instant>& admitted(const std::string& team) { return m_admitted[team]; }
    std::uint64_t refused(const std::string& team) { return m_refused[team]; }
    void clearCounts();

    // Returns the instants at which requests of a team arrived at any host, in order.
    const std::vector<instant>& arrived(const std::string& team) { return m_arrived[team]; }

    // Returns how many of the arrivals a single token bucket for the whole fleet would refuse.
    static std::uint64_t countRefusedBySingleBucket(const std::vector<instant>& arrivals, double ratePerSecond, double burst);

    // Returns whether the admissions conform to the rate and burst over every time window.
    static bool conformsToRate(const std::vector<instant>& admissions, double ratePerSecond, double burst);

private:
    struct fake_host {
        member_settings settings;
        traffic_settings trafficSettings;
        std::unique_ptr<fleet_member> member;
        std::unique_ptr<traffic_core> traffic;
        bool isAlive = true;
        bool isPaused = false;
        // Increases with each start. Events scheduled for an earlier start are dropped.
        unsigned startCount = 0;
        // Events that arrived during a pause.
        std::vector<std::function<void()>> queuedEvents;
        bool isStoreReadPending = false;
        instant proposedAt = distantPast;
    };

    struct event {
        instant at;
        std::uint64_t number = 0;
        std::function<void()> run;
        bool operator>(const event& other) const { return at != other.at ? at > other.at : number > other.number; }
    };

    void writeInitialMembership();
    void start(unsigned host);
    void tick(unsigned host);
    // Runs a function on a host after a delay, or at the end of the pause if the host is paused then.
    void deliver(unsigned host, duration delay, std::function<void()>);
    void handle(unsigned host, const member_effects&);
    void send(unsigned from, const outgoing_message&);
    void pollStore(unsigned host);
    void propose(unsigned host);
    void awaitToken(unsigned host, const std::string& team, instant deadline);
    bool isLinkCut(unsigned from, unsigned to) const { return m_cuts.count({ from, to }) > 0; }
    duration delayBetween(unsigned from, unsigned to);
    // Returns true with the given probability.
    bool randomChance(double fraction);

    fleet_options m_options;
    std::mt19937_64 m_random;
    memory_platform m_platform;
    change_log<memory_platform> m_log { m_platform };
    std::vector<fake_host> m_hosts;
    std::map<std::string, unsigned> m_byName;
    instant m_now { std::chrono::hours(1) };
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::uint64_t m_nextEvent = 0;
    std::uint64_t m_nextChange = 0;
    std::set<std::pair<unsigned, unsigned>> m_cuts;
    std::set<unsigned> m_storeCuts;
    bool m_isStoreUnavailable = false;
    traffic_totals m_totals;
    std::map<std::string, std::vector<instant>> m_arrived;
    std::map<std::string, std::vector<instant>> m_admitted;
    std::map<std::string, std::uint64_t> m_refused;
};

} // namespace almondmoor
