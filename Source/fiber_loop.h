// Runs many tasks that wait for sockets on one thread.
//
// Each task is a fiber with its own small stack. When it waits for a socket, the loop suspends it and runs others, so a
// waiting task costs a stack and no thread, and its code keeps its plain order. byte_stream suspends the fiber that it is
// called from; outside fibers it blocks the thread instead.
//
// A fiber whose socket is always ready never waits. It keeps the thread for one turn and then goes behind the others, see
// yieldAfterTurn(). byte_stream calls that for each read and write, so code that handles a stream need not.
//
// Rules for code that runs in a fiber: it must not block the thread, must not hold a lock while it waits (see
// no_suspend_scope) and must not wait inside a catch block, because the C++ runtime keeps caught exceptions per thread.

#pragma once

#include "Core/core_time.h"

#include <atomic>
#include <boost/context/fiber.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <poll.h>
#include <span>
#include <thread>
#include <unordered_map>
#include <vector>

namespace almondmoor {

// While an object of this type exists, the fiber that made it must not wait. A wait then throws std::logic_error, which
// finds locks that are held over a wait.
class no_suspend_scope {
public:
    no_suspend_scope();
    ~no_suspend_scope();

    no_suspend_scope(const no_suspend_scope&) = delete;
    no_suspend_scope& operator=(const no_suspend_scope&) = delete;
};

class fiber_loop {
public:
    // Throws std::system_error if the system lacks descriptors.
    fiber_loop();
    ~fiber_loop();

    fiber_loop(const fiber_loop&) = delete;
    fiber_loop& operator=(const fiber_loop&) = delete;

    // Runs posted functions, fibers and callbacks on the calling thread until stop() was called and no fiber is left.
    void run();

    // May be called from any thread.
    void stop();

    // Runs a function on the loop's thread, outside all fibers. May be called from any thread.
    void post(std::function<void()>);

    // Starts a fiber. Must be called on the loop's thread. An exception of the function ends only the fiber.
    void spawn(std::function<void()>);

    // Calls a function whenever a descriptor is readable, until unwatch() is called or the descriptor is closed. Both
    // must be called on the loop's thread.
    void watch(int descriptor, std::function<void()> readable);
    void unwatch(int descriptor);

    // Calls a function once after a delay. Must be called on the loop's thread.
    void callAfter(duration, std::function<void()>);

    // Returns the loop of the running fiber, or null outside fibers.
    static fiber_loop* current();

    // Suspends the running fiber until one of the descriptors is ready or the deadline passes. Sets revents as poll()
    // does and returns the number of ready descriptors, or 0 at the deadline.
    int waitForEvents(std::span<pollfd>, instant deadline);

    // Suspends the running fiber until an instant.
    void sleepUntil(instant);

    // If the running fiber has kept the thread for longer than a turn, suspends it until everything that is ready has
    // run, and returns true. Otherwise returns false at once.
    bool yieldAfterTurn();

private:
    struct fiber_task {
        boost::context::fiber fiber;
        std::function<void()> function;
    };
    // A suspended fiber and what it waits for.
    struct waiter {
        fiber_task* task = nullptr;
        std::span<pollfd> descriptors;
        int readyCount = 0;
        bool isResumable = false;
    };
    struct descriptor_row {
        std::function<void()> readable;
        waiter* waiting = nullptr;
        // Whether the descriptor was added to the epoll set. It may have been closed since.
        bool isAdded = false;
    };
    using timer_map = std::multimap<instant, std::function<void()>>;

    void resume(fiber_task*);
    // Suspends the running fiber until markResumable() is called for the waiter or the deadline passes.
    void suspend(waiter&, instant deadline);
    void markResumable(waiter&);
    void arm(int descriptor, std::uint32_t events);
    void handleEvent(int descriptor, std::uint32_t events);
    void runPosted();
    void runResumable();
    // Resumes the fiber that yielded first. One at a time, so that the others wait for one turn at most, however many
    // fibers yield.
    void runYielded();
    void runTimers(instant now);
    bool hasPosted() const;
    int pollTimeoutMs(instant now) const;

    int m_epoll = -1;
    // An eventfd that wakes up the loop when a function was posted.
    int m_wake = -1;
    std::atomic<bool> m_isStopping { false };
    // The thread that runs the loop.
    std::atomic<std::thread::id> m_threadId;
    mutable std::mutex m_mutex;
    std::vector<std::function<void()>> m_posted;
    // Only the loop's thread uses the members below.
    std::unordered_map<int, descriptor_row> m_descriptors;
    timer_map m_timers;
    std::vector<waiter*> m_resumable;
    // Fibers whose turn is over.
    std::deque<fiber_task*> m_yielded;
    std::size_t m_fiberCount = 0;
    // The running fiber, the end of its turn, and where it returns to when it waits.
    fiber_task* m_running = nullptr;
    instant m_turnEnd;
    boost::context::fiber m_loopContext;
};

} // namespace almondmoor
