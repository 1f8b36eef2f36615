// Tests of fiber_loop: waits, deadlines, descriptors that are used again, and locks over waits.

#include "Serve/host_fixture.h"
#include "fiber_loop.h"

#include <Poco/Net/ServerSocket.h>
#include <array>
#include <catch2/catch.hpp>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace almondmoor {

namespace {

    using namespace std::chrono_literals;

    // Two connected sockets.
    struct socket_pair {
        socket_pair() { REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()) == 0); }
        ~socket_pair()
        {
            for (const int end : ends)
                ::close(end);
        }
        socket_pair(const socket_pair&) = delete;
        socket_pair& operator=(const socket_pair&) = delete;

        std::array<int, 2> ends {};
    };

    // Runs functions as fibers of one loop until all have ended.
    void runFibers(const std::vector<std::function<void()>>& functions)
    {
        fiber_loop loop;
        loop.post([&] {
            for (const auto& function : functions)
                loop.spawn(function);
            loop.stop();
        });
        loop.run();
    }

    int waitReadable(int descriptor, duration timeout)
    {
        pollfd entry { descriptor, POLLIN, 0 };
        return fiber_loop::current()->waitForEvents({ &entry, 1 }, presentInstant() + timeout);
    }

} // namespace

TEST_CASE("a fiber that waits lets others run, and continues when its descriptor is ready", "[fibers]")
{
    socket_pair sockets;
    std::vector<std::string> order;
    runFibers({ [&] {
                   order.emplace_back("waits");
                   CHECK(waitReadable(sockets.ends[0], 5s) == 1);
                   order.emplace_back("continues");
               },
        [&] {
            order.emplace_back("writes");
            CHECK(::write(sockets.ends[1], "x", 1) == 1);
        } });
    CHECK(order == std::vector<std::string> { "waits", "writes", "continues" });
}

TEST_CASE("a wait ends at its deadline, and no earlier", "[fibers]")
{
    socket_pair sockets;
    const instant begin = presentInstant();
    runFibers({ [&] { CHECK(waitReadable(sockets.ends[0], 50ms) == 0); }, [&] { fiber_loop::current()->sleepUntil(presentInstant() + 30ms); } });
    CHECK(presentInstant() - begin >= 50ms);
    CHECK(presentInstant() - begin < 2s);
}

TEST_CASE("a wait for two descriptors reports the ready one", "[fibers]")
{
    socket_pair first;
    socket_pair second;
    runFibers({ [&] {
                   std::array<pollfd, 2> entries { { { first.ends[0], POLLIN, 0 }, { second.ends[0], POLLRDHUP, 0 } } };
                   CHECK(fiber_loop::current()->waitForEvents(entries, presentInstant() + 5s) == 1);
                   CHECK(entries[0].revents == 0);
                   CHECK((entries[1].revents & POLLRDHUP) != 0);
               },
        [&] { ::shutdown(second.ends[1], SHUT_WR); } });
}

TEST_CASE("a descriptor number that is used again is waited for anew", "[fibers]")
{
    runFibers({ [] {
        for (int round = 0; round < 100; ++round) {
            socket_pair sockets;
            CHECK(::write(sockets.ends[1], "x", 1) == 1);
            CHECK(waitReadable(sockets.ends[0], 5s) == 1);
        }
    } });
}

// Guards against fibers that keep the thread because they never wait.
TEST_CASE("fibers that never wait let every fiber that is ready run after one turn", "[fibers]")
{
    constexpr std::size_t busyFibers = 10;
    constexpr int waits = 20;
    bool isDone = false;
    duration longestWait {};
    std::vector<std::function<void()>> functions(busyFibers, [&isDone] {
        while (!isDone)
            (void)fiber_loop::current()->yieldAfterTurn();
    });
    functions.emplace_back([&] {
        socket_pair sockets;
        for (int round = 0; round < waits; ++round) {
            const instant begin = presentInstant();
            CHECK(::write(sockets.ends[1], "x", 1) == 1);
            CHECK(waitReadable(sockets.ends[0], 5s) == 1);
            char byte = 0;
            CHECK(::read(sockets.ends[0], &byte, 1) == 1);
            longestWait = std::max(longestWait, presentInstant() - begin);
        }
        isDone = true;
    });
    runFibers(functions);
    CHECK(isDone);
    // One turn of 2 ms for each wait, however many fibers are busy, and room for a loaded machine.
    CHECK(longestWait < 200ms);
}

TEST_CASE("a fiber whose turn is not over does not yield", "[fibers]")
{
    runFibers({ [] {
        fiber_loop::current()->sleepUntil(presentInstant() + 5ms);
        CHECK_FALSE(fiber_loop::current()->yieldAfterTurn());
        const instant turnEnd = presentInstant() + 10ms;
        while (presentInstant() < turnEnd) { }
        CHECK(fiber_loop::current()->yieldAfterTurn());
    } });
}

TEST_CASE("a fiber that yields while a lock is held is an error", "[fibers]")
{
    runFibers({ [] {
        const instant turnEnd = presentInstant() + 10ms;
        while (presentInstant() < turnEnd) { }
        const no_suspend_scope scope;
        CHECK_THROWS_AS(fiber_loop::current()->yieldAfterTurn(), std::logic_error);
    } });
}

TEST_CASE("an exception ends only its own fiber", "[fibers]")
{
    bool hasRun = false;
    runFibers({ [] {
                   fiber_loop::current()->sleepUntil(presentInstant() + 5ms);
                   throw std::runtime_error("planted");
               },
        [&] {
            fiber_loop::current()->sleepUntil(presentInstant() + 20ms);
            hasRun = true;
        } });
    CHECK(hasRun);
}

TEST_CASE("a wait while a lock is held is an error", "[fibers]")
{
    runFibers({ [] {
        {
            const no_suspend_scope scope;
            CHECK_THROWS_AS(fiber_loop::current()->sleepUntil(presentInstant() + 5ms), std::logic_error);
        }
        CHECK_NOTHROW(fiber_loop::current()->sleepUntil(presentInstant() + 5ms));
    } });
}

TEST_CASE("functions posted by other threads run on the loop's thread", "[fibers]")
{
    fiber_loop loop;
    std::atomic<int> count { 0 };
    std::thread::id ranOn;
    std::thread runner([&] { loop.run(); });
    for (int index = 0; index < 1000; ++index)
        loop.post([&] {
            ranOn = std::this_thread::get_id();
            ++count;
        });
    const instant deadline = presentInstant() + 10s;
    while (count < 1000 && presentInstant() < deadline)
        std::this_thread::yield();
    CHECK(count == 1000);
    CHECK(ranOn == runner.get_id());
    loop.stop();
    runner.join();
}

TEST_CASE("five thousand fibers wait at once", "[fibers]")
{
    constexpr std::size_t fibers = 5000;
    std::size_t waiting = 0;
    std::size_t mostWaiting = 0;
    const instant until = presentInstant() + 300ms;
    std::vector<std::function<void()>> functions(fibers, [&] {
        mostWaiting = std::max(mostWaiting, ++waiting);
        fiber_loop::current()->sleepUntil(until);
        --waiting;
    });
    runFibers(functions);
    CHECK(mostWaiting == fibers);
    CHECK(waiting == 0);
}

} // namespace almondmoor
