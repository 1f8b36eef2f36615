// The control thread of one host: it owns the fleet member, runs its ticks,
// exchanges messages with other hosts and drives the store.
//
// Everything that touches the fleet member runs on this thread; other threads
// post functions to it. Calls to the platform run on a thread of their own.

#pragma once

#include "Core/fleet_member.h"
#include "Platform/change_log.h"
#include "host_runtime.h"
#include "peer_link.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <future>
#include <map>
#include <optional>
#include <string>
#include <thread>

namespace almondmoor {

// What must hold before a change may be committed.
enum class change_rule {
    // A majority of the hosts can be reached, so that it can come into force.
    Reachable,
    // A majority holds all earlier changes, so that rosters change one by one.
    Confirmed,
    // Nothing: operators answer for it, or it moves no permission.
    Always
};

// How an operator's change ended.
struct change_report {
    append_outcome outcome = append_outcome::Unavailable;
    std::string changeId;
    config_version version = 0;
    // True if a majority of the roster holds the change, which is when it counts
    // as accepted.
    bool isConfirmed = false;
    std::size_t holders = 0;
    std::size_t hosts = 0;
    std::vector<std::string> hostsWithout;
    absl::Status error;
};

class control_loop {
public:
    explicit control_loop(host_runtime&);
    ~control_loop();

    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;

    // Starts the threads. Returns an error if the peer port cannot be had.
    absl::Status start();

    // Gives the allowances whose home is this host to other hosts, at the start
    // of a planned stop.
    void handOff();

    // Hands on what this host holds, leaves the roster and ends the threads.
    void stop();

    // Tries to make a change and waits until it is confirmed, or a few seconds.
    // Called from an operator's thread.
    change_report propose(const std::string& command, const std::string& author, change_rule);

    // Returns what is known of an earlier change.
    change_report find(const std::string& changeId);

    // Runs a function on the fleet member and returns its result.
    template <typename Function>
    auto withMember(Function function)
    {
        std::promise<decltype(function(std::declval<fleet_member&>()))> result;
        auto future = result.get_future();
        boost::asio::post(m_context, [&] { result.set_value(function(m_member)); });
        return future.get();
    }

private:
    void runTicks();
    void tick();
    void handleEffects(member_effects);
    void send(const outgoing_message&);
    peer_message answer(const peer_message& request);
    void pollStore(instant now);
    void storeReadDone(instant askedAt, const call_result<log_read_result>&);
    void loadSnapshot();
    void refreshHostList(instant now);
    void submitOwnChanges(instant now);
    void maybeWriteSnapshot();
    void sendShortage();
    void logTransitions(const std::vector<health_transition>&);
    append_result commitChange(change&, change_rule, absl::Status& refusal);
    void leaveRoster();

    host_runtime& m_runtime;
    change_log<any_platform> m_log;
    fleet_member m_member;
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    boost::asio::steady_timer m_timer;
    boost::asio::thread_pool m_storeThread { 1 };
    boost::asio::thread_pool m_proposalThread { 1 };
    std::unique_ptr<peer_link> m_link;
    std::thread m_thread;
    bool m_isReading = false;
    bool m_isProposing = false;
    bool m_isStopping = false;
    bool m_hasLeft = false;
    std::atomic<bool> m_isShortagePosted { false };
    instant m_hostListAt = distantPast;
    instant m_proposedAt = distantPast;
    config_version m_snapshotVersion = 0;
    bool m_wasFresh = false;
};

} // namespace almondmoor
