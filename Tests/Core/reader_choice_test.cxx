// Tests of reader_choice: which host of a data centre reads the store, and how soon
// a lost reader is replaced.

#include "Core/reader_choice.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <vector>

namespace almondmoor {

namespace {

    using namespace std::chrono_literals;

    constexpr instant begin { std::chrono::hours(1) };
    constexpr duration tick = 10ms;
    constexpr duration readInterval = 1s;

    // Hosts of one data centre on a fake clock, without a network. Each host reads
    // when it should, and its reports reach the others immediately.
    class reading_fleet {
    public:
        explicit reading_fleet(unsigned hosts)
        {
            for (unsigned index = 0; index < hosts; ++index)
                m_hosts.push_back({ reader_choice({}, nameOf(index)) });
        }

        void run(duration length)
        {
            for (const instant end = m_now + length; m_now < end; m_now += tick) {
                for (unsigned index = 0; index < m_hosts.size(); ++index)
                    runHost(index);
            }
        }

        // The calls of a host that can't reach the store fail.
        void setReachesStore(unsigned host, bool reachesStore) { m_hosts[host].reachesStore = reachesStore; }
        // A dead host sends no reports and makes no calls.
        void setAlive(unsigned host, bool isAlive) { m_hosts[host].isAlive = isAlive; }
        void setFirstReadAt(unsigned host, instant at) { m_hosts[host].choice.setFirstReadAt(at); }
        void setCandidate(unsigned host, bool isCandidate) { m_hosts[host].choice.setCandidate(isCandidate); }
        // Reports of an unreachable host don't arrive at its neighbours.
        void setReachable(unsigned host, bool isReachable) { m_hosts[host].isReachable = isReachable; }

        unsigned calls(unsigned host) const { return m_hosts[host].calls; }
        void resetCalls()
        {
            for (host_row& it : m_hosts)
                it.calls = 0;
        }
        unsigned readerCount() const
        {
            return static_cast<unsigned>(std::count_if(m_hosts.begin(), m_hosts.end(), [](const host_row& it) { return it.calls > 0; }));
        }
        unsigned reader() const
        {
            const auto busiest = std::max_element(m_hosts.begin(), m_hosts.end(), [](const host_row& it, const host_row& other) { return it.calls < other.calls; });
            return static_cast<unsigned>(busiest - m_hosts.begin());
        }
        // Returns the maximum age of the latest confirmation that a live host knew.
        duration maxConfirmationAge() const { return m_maxConfirmationAge; }

    private:
        struct host_row {
            reader_choice choice;
            bool reachesStore = true;
            bool isAlive = true;
            bool isReachable = true;
            unsigned calls = 0;
            instant nextCallAt = distantPast;
            instant confirmedAt = distantPast;
            instant lastKnownAt = begin;
        };

        static std::string nameOf(unsigned index) { return "host-" + std::to_string(index); }

        void runHost(unsigned index)
        {
            host_row& it = m_hosts[index];
            if (!it.isAlive)
                return;
            if (it.choice.shouldRead(m_now) && m_now >= it.nextCallAt) {
                ++it.calls;
                it.nextCallAt = m_now + readInterval;
                if (it.reachesStore)
                    it.confirmedAt = m_now;
            }
            report(index);
            const auto known = it.choice.latestReader(m_now);
            it.lastKnownAt = std::max({ it.lastKnownAt, it.confirmedAt, known ? known->confirmation.respondedAt : distantPast });
            m_maxConfirmationAge = std::max(m_maxConfirmationAge, m_now - it.lastKnownAt);
        }

        void report(unsigned index)
        {
            const host_row& it = m_hosts[index];
            std::optional<store_confirmation> confirmation;
            if (m_now - it.confirmedAt < reader_settings {}.confirmationTtl)
                confirmation = store_confirmation { it.confirmedAt, {} };
            for (unsigned other = 0; other < m_hosts.size(); ++other) {
                if (other != index && m_hosts[other].isAlive && it.isReachable)
                    m_hosts[other].choice.recordNeighbour(nameOf(index), confirmation, m_now);
            }
        }

        std::vector<host_row> m_hosts;
        instant m_now = begin;
        duration m_maxConfirmationAge {};
    };

} // namespace

TEST_CASE("one host of a data centre reads for all others, for any number of hosts", "[reader]")
{
    for (const unsigned hosts : { 1U, 2U, 8U, 18U, 125U }) {
        INFO(hosts << " hosts");
        reading_fleet fleet(hosts);
        fleet.run(3s);
        fleet.resetCalls();
        fleet.run(20s);
        CHECK(fleet.readerCount() == 1);
        CHECK(fleet.calls(fleet.reader()) <= 21);
    }
}

// Guards against calls to the store by each host that happens to finish its first reads before the one that ranks first.
TEST_CASE("pattern: hosts that start together, but not at one instant, choose one reader", "[reader]")
{
    constexpr unsigned hosts = 8;
    constexpr duration initialWait = 600ms;
    for (unsigned late = 0; late < hosts; ++late) {
        for (const duration delay : { 60ms, 300ms, 480ms }) {
            INFO("host " << late << " is late");
            reading_fleet fleet(hosts);
            for (unsigned host = 0; host < hosts; ++host)
                fleet.setFirstReadAt(host, begin + initialWait + (host == late ? delay : 0ms));
            fleet.run(3s);
            CHECK(fleet.readerCount() == 1);
        }
    }
}

// Guards against hosts that wait at their start for a neighbour that never reads.
TEST_CASE("another host reads soon if the one that ranks first cannot at its start", "[reader]")
{
    for (unsigned failing = 0; failing < 8; ++failing) {
        reading_fleet fleet(8);
        for (unsigned host = 0; host < 8; ++host)
            fleet.setFirstReadAt(host, begin + 600ms);
        fleet.setReachesStore(failing, false);
        fleet.run(5s);
        CHECK(fleet.maxConfirmationAge() < 2s);
    }
}

TEST_CASE("a lost reader is replaced before its confirmation is too old", "[reader]")
{
    struct row {
        const char* name;
        std::function<void(reading_fleet&, unsigned reader)> loseReader;
    };
    const std::vector<row> rows {
        { "the reader dies", [](reading_fleet& it, unsigned reader) { it.setAlive(reader, false); } },
        { "the reader cannot reach the store", [](reading_fleet& it, unsigned reader) { it.setReachesStore(reader, false); } },
        { "the reports of the reader are lost", [](reading_fleet& it, unsigned reader) { it.setReachable(reader, false); } },
        { "the reader is about to stop", [](reading_fleet& it, unsigned reader) { it.setCandidate(reader, false); } },
    };
    for (const row& it : rows) {
        INFO(it.name);
        reading_fleet fleet(8);
        fleet.run(5s);
        it.loseReader(fleet, fleet.reader());
        fleet.run(10s);
        // A change must take effect within 2.5 s.
        CHECK(fleet.maxConfirmationAge() < 2s);
    }
}

TEST_CASE("hosts that cannot reach the store leave the reading to the others", "[reader]")
{
    reading_fleet fleet(8);
    for (const unsigned host : { 0U, 1U, 2U, 3U, 4U })
        fleet.setReachesStore(host, false);
    fleet.run(10s);
    CHECK(fleet.maxConfirmationAge() < 2s);
}

TEST_CASE("a confirmation expires when its reader reports without one", "[reader]")
{
    reader_choice choice({}, "host-a");
    choice.recordNeighbour("host-b", store_confirmation { begin, { 1, 2, 3 } }, begin);
    REQUIRE(choice.latestReader(begin));
    CHECK(choice.latestReader(begin)->confirmation.lastChangeVersions[1] == 2);
    choice.recordNeighbour("host-b", std::nullopt, begin + 10ms);
    CHECK_FALSE(choice.latestReader(begin + 10ms));
    CHECK(choice.shouldRead(begin + 10ms + reader_settings {}.maxStagger));
}

} // namespace almondmoor
