// The control thread of one host, for the command 'serve'. The thread owns the fleet member, runs its periodic tick,
// exchanges messages with other hosts, reads the change log and commits changes to it.
//
// All code that uses the fleet member runs on this thread; other threads post functions to it. Calls to the platform
// that may block run on separate threads.

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

// The condition that must hold before a change may be committed.
enum class change_precondition {
    // A majority of the hosts is reachable, so that the change can come into force.
    MajorityReachable,
    // A majority of the hosts holds all earlier changes, so that the membership changes one step at a time.
    EarlierChangesConfirmed,
    // No condition: an operator takes responsibility for the change, or the change grants and withdraws no permission.
    None
};

// The status of a proposed change.
struct change_status {
    append_outcome outcome = append_outcome::Unavailable;
    std::string changeId;
    config_version version = 0;
    // Whether a majority of the member hosts holds the change. The operator's command counts as accepted from then on.
    bool isConfirmed = false;
    // The number of member hosts that hold the change, and the number of all member hosts.
    std::size_t holderCount = 0;
    std::size_t hostCount = 0;
    // Member hosts that are not known to hold the change.
    std::vector<std::string> hostsWithout;
    absl::Status error;
};

class control_loop {
public:
    explicit control_loop(host_runtime&);
    ~control_loop();

    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;

    // Starts the threads. Returns an error if the peer port cannot be opened.
    absl::Status start();

    // Assigns the allowances whose home is this host to other hosts, at the start of a planned stop. Tries for a few
    // seconds at most.
    void handOffAllowances();

    // Returns this host's shares to their homes, leaves the membership and joins the threads.
    void stop();

    // Commits a change and waits a few seconds at most until it is confirmed. Must not be called on the control thread.
    change_status propose(const std::string& command, const std::string& author, change_precondition);

    // Returns the status of an earlier change. Must not be called on the control thread.
    change_status find(const std::string& changeId);

    // Runs a function with the fleet member on the control thread and returns its result. Must not be called on the
    // control thread.
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
    peer_message handleRequest(const peer_message& request);
    void pollStore(instant now);
    void handleStoreRead(instant requestedAt, const call_result<log_read_result>&);
    void loadSnapshot();
    void refreshHostList(instant now);
    void submitOwnChanges(instant now);
    void writeSnapshotIfDue();
    void sendDueShareReports();
    void logTransitions(const std::vector<health_transition>&);
    append_result commitChange(change&, change_precondition, absl::Status& refusal);
    void leaveFleet();

    host_runtime& m_runtime;
    change_log<any_platform> m_changeLog;
    fleet_member m_member;
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_workGuard;
    boost::asio::steady_timer m_timer;
    boost::asio::thread_pool m_storeThread { 1 };
    boost::asio::thread_pool m_proposalThread { 1 };
    std::unique_ptr<peer_link> m_link;
    std::thread m_thread;
    bool m_isReadingStore = false;
    bool m_isProposing = false;
    bool m_isStopping = false;
    bool m_hasLeft = false;
    std::atomic<bool> m_isShareReportPosted { false };
    instant m_lastHostListAt = distantPast;
    instant m_lastProposalAt = distantPast;
    config_version m_lastSnapshotVersion = 0;
    bool m_wasFresh = false;
};

} // namespace almondmoor
