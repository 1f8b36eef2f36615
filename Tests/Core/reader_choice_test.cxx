// Which host of a data centre reads the store, under each loss of a reader.

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

    // Hosts of one data centre on a fake clock, without a network: each reads when
    // it should, and tells the others at once.
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
                    turn(index);
            }
        }

        // A host that is cut off from the store makes calls that fail.
        void setReachesStore(unsigned host, bool reaches) { m_hosts[host].reachesStore = reaches; }
        // A dead host is heard by nobody and makes no call.
        void setAlive(unsigned host, bool isAlive) { m_hosts[host].isAlive = isAlive; }
        void setWilling(unsigned host, bool isWilling) { m_hosts[host].choice.setWilling(isWilling); }
        // A host that its neighbours do not hear.
        void setHeard(unsigned host, bool isHeard) { m_hosts[host].isHeard = isHeard; }

        unsigned calls(unsigned host) const { return m_hosts[host].calls; }
        void forgetCalls()
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
            const auto most = std::max_element(m_hosts.begin(), m_hosts.end(), [](const host_row& it, const host_row& other) { return it.calls < other.calls; });
            return static_cast<unsigned>(most - m_hosts.begin());
        }
        // Longest time for which a host that lives knew of no fresh reading.
        duration longestGap() const { return m_longestGap; }

    private:
        struct host_row {
            reader_choice choice;
            bool reachesStore = true;
            bool isAlive = true;
            bool isHeard = true;
            unsigned calls = 0;
            instant nextCallAt = distantPast;
            instant confirmedAt = distantPast;
            instant knownAt = begin;
        };

        static std::string nameOf(unsigned index) { return "host-" + std::to_string(index); }

        void turn(unsigned index)
        {
            host_row& it = m_hosts[index];
            if (!it.isAlive)
                return;
            if (it.choice.reads(m_now) && m_now >= it.nextCallAt) {
                ++it.calls;
                it.nextCallAt = m_now + readInterval;
                if (it.reachesStore)
                    it.confirmedAt = m_now;
            }
            tell(index);
            const auto heard = it.choice.confirmation(m_now);
            it.knownAt = std::max({ it.knownAt, it.confirmedAt, heard ? heard->at : distantPast });
            m_longestGap = std::max(m_longestGap, m_now - it.knownAt);
        }

        void tell(unsigned index)
        {
            const host_row& it = m_hosts[index];
            std::optional<store_confirmation> confirmation;
            if (m_now - it.confirmedAt < reader_settings {}.freshLimit)
                confirmation = store_confirmation { it.confirmedAt, {} };
            for (unsigned other = 0; other < m_hosts.size(); ++other) {
                if (other != index && m_hosts[other].isAlive && it.isHeard)
                    m_hosts[other].choice.noteNeighbour(nameOf(index), confirmation, m_now);
            }
        }

        std::vector<host_row> m_hosts;
        instant m_now = begin;
        duration m_longestGap {};
    };

} // namespace

TEST_CASE("one host of a data centre reads for all, whatever their number", "[reader]")
{
    for (const unsigned hosts : { 1U, 2U, 8U, 18U, 125U }) {
        INFO(hosts << " hosts");
        reading_fleet fleet(hosts);
        fleet.run(3s);
        fleet.forgetCalls();
        fleet.run(20s);
        CHECK(fleet.readerCount() == 1);
        CHECK(fleet.calls(fleet.reader()) <= 21);
    }
}

TEST_CASE("a lost reader is replaced before its readings are too old", "[reader]")
{
    struct row {
        const char* name;
        std::function<void(reading_fleet&, unsigned reader)> lose;
    };
    const std::vector<row> rows {
        { "it dies", [](reading_fleet& it, unsigned reader) { it.setAlive(reader, false); } },
        { "its path to the store is cut", [](reading_fleet& it, unsigned reader) { it.setReachesStore(reader, false); } },
        { "nobody hears it", [](reading_fleet& it, unsigned reader) { it.setHeard(reader, false); } },
        { "it is about to stop", [](reading_fleet& it, unsigned reader) { it.setWilling(reader, false); } },
    };
    for (const row& it : rows) {
        INFO(it.name);
        reading_fleet fleet(8);
        fleet.run(5s);
        it.lose(fleet, fleet.reader());
        fleet.run(10s);
        // Two and a half seconds are allowed from a change to its effect.
        CHECK(fleet.longestGap() < 2s);
    }
}

TEST_CASE("hosts whose path to the store is cut leave the reading to the others", "[reader]")
{
    reading_fleet fleet(8);
    for (const unsigned host : { 0U, 1U, 2U, 3U, 4U })
        fleet.setReachesStore(host, false);
    fleet.run(10s);
    CHECK(fleet.longestGap() < 2s);
}

TEST_CASE("a confirmation that is taken back counts no longer", "[reader]")
{
    reader_choice choice({}, "host-a");
    choice.noteNeighbour("host-b", store_confirmation { begin, { 1, 2, 3 } }, begin);
    REQUIRE(choice.confirmation(begin));
    CHECK(choice.confirmation(begin)->changedAt[1] == 2);
    choice.noteNeighbour("host-b", std::nullopt, begin + 10ms);
    CHECK_FALSE(choice.confirmation(begin + 10ms));
    CHECK(choice.reads(begin + 10ms + reader_settings {}.longestStagger));
}

} // namespace almondmoor
