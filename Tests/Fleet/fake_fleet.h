// Many hosts' worth of the coordination core in one process, over a small fake
// network and a fake clock.
//
// Messages can be delayed, lost, repeated and cut one way; hosts can be paused,
// killed and started again; the store can be away or lose answers. Everything
// follows from a seed.

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
    // Hosts are spread over these in turn.
    std::vector<std::string> dataCentres { "lagos-1" };
    std::uint64_t seed = 1;
    // One-way delays within a data centre, within a region and between regions.
    duration nearDelay = std::chrono::microseconds(250);
    duration regionDelay = std::chrono::microseconds(500);
    duration farDelay = std::chrono::milliseconds(10);
    // Parts of messages that are lost or repeated.
    double loss = 0;
    double repeat = 0;
    duration tickInterval = std::chrono::milliseconds(50);
    duration tokenWait = std::chrono::milliseconds(400);
    // Writes the roster and the homes of all shards into the log before the
    // hosts start, so that a test need not wait for them to form.
    bool isPreformed = true;
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

    // Lets time pass.
    void run(duration span);

    // Lets time pass until a condition holds. Returns whether it came to hold.
    bool runUntil(const std::function<bool()>& condition, duration limit);

    instant now() const { return m_now; }
    void at(instant, std::function<void()>);

    // Commits a change as an operator at a host. Returns whether the store took it.
    bool commit(unsigned host, const std::string& command);

    // Returns whether a majority of the roster is known at a host to hold a version.
    bool isAccepted(unsigned host, config_version version);

    void pause(unsigned host);
    void resume(unsigned host);
    void kill(unsigned host);
    // Starts a killed host with nothing but its settings.
    void restart(unsigned host);

    // Stops messages from one host to another, one way.
    void cut(unsigned from, unsigned to) { m_cuts.insert({ from, to }); }
    void cutStore(unsigned host) { m_storeCuts.insert(host); }
    void healAll();
    void setStoreAway(bool isAway);

    // Sends a request of a team to a host and counts what became of it.
    void request(unsigned host, const std::string& team);

    fleet_member& member(unsigned host) { return *m_nodes[host].member; }
    traffic_core& traffic(unsigned host) { return *m_nodes[host].traffic; }
    bool isAlive(unsigned host) const { return m_nodes[host].isAlive; }
    bool isFresh(unsigned host) { return m_nodes[host].member->isFresh(m_now); }
    unsigned size() const { return static_cast<unsigned>(m_nodes.size()); }
    memory_platform& platform() { return m_platform; }
    traffic_totals& totals() { return m_totals; }
    std::mt19937_64& random() { return m_random; }

    // Instants at which requests of a team were admitted, in order.
    const std::vector<instant>& admitted(const std::string& team) { return m_admitted[team]; }
    std::uint64_t refused(const std::string& team) { return m_refused[team]; }
    void clearCounts();

    // Instants at which requests of a team arrived anywhere, in order.
    const std::vector<instant>& arrived(const std::string& team) { return m_arrived[team]; }

    // Returns how many of some arrivals one bucket for all hosts would refuse.
    static std::uint64_t refusedByOneBucket(const std::vector<instant>& arrivals, double ratePerSecond, double burst);

    // Returns whether admissions obey a rate and burst over every window.
    static bool conforms(const std::vector<instant>& admissions, double ratePerSecond, double burst);

private:
    struct node {
        member_settings settings;
        traffic_settings trafficSettings;
        std::unique_ptr<fleet_member> member;
        std::unique_ptr<traffic_core> traffic;
        bool isAlive = true;
        bool isPaused = false;
        // Grows with each start; events for an earlier life are dropped.
        unsigned life = 0;
        // What arrived during a pause.
        std::vector<std::function<void()>> held;
        bool isReading = false;
        instant proposedAt = distantPast;
    };

    struct event {
        instant at;
        std::uint64_t number = 0;
        std::function<void()> run;
        bool operator>(const event& other) const { return at != other.at ? at > other.at : number > other.number; }
    };

    void writeRoster();
    void start(unsigned host);
    void tick(unsigned host);
    // Runs a function at a host after a delay, or when its pause ends.
    void deliver(unsigned host, duration delay, std::function<void()>);
    void handle(unsigned host, const member_effects&);
    void send(unsigned from, const outgoing_message&);
    void pollStore(unsigned host);
    void propose(unsigned host);
    void awaitToken(unsigned host, const std::string& team, instant deadline);
    bool isCut(unsigned from, unsigned to) const { return m_cuts.count({ from, to }) > 0; }
    duration delayBetween(unsigned from, unsigned to);
    bool draw(double part);

    fleet_options m_options;
    std::mt19937_64 m_random;
    memory_platform m_platform;
    change_log<memory_platform> m_log { m_platform };
    std::vector<node> m_nodes;
    std::map<std::string, unsigned> m_byName;
    instant m_now { std::chrono::hours(1) };
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::uint64_t m_nextEvent = 0;
    std::uint64_t m_nextChange = 0;
    std::set<std::pair<unsigned, unsigned>> m_cuts;
    std::set<unsigned> m_storeCuts;
    bool m_isStoreAway = false;
    traffic_totals m_totals;
    std::map<std::string, std::vector<instant>> m_arrived;
    std::map<std::string, std::vector<instant>> m_admitted;
    std::map<std::string, std::uint64_t> m_refused;
};

} // namespace almondmoor
