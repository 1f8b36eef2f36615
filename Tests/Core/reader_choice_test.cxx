// Tests of reader_choice: which host of a data centre reads the store, and how soon
// a lost reader is replaced.

#include "Core/reader_choice.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace almondmoor {

namespace {

    using namespace std::chrono_literals;

    constexpr instant begin { std::chrono::hours(1) };
    constexpr duration tick = 10ms;
    constexpr duration callTimeout = 1s;
    constexpr duration retryDelay = 100ms;
    constexpr duration retryIntervalWithOtherReader = 2s;

    // How the store treats the calls of a host.
    enum class store_access {
        Answered,
        // The calls, the present one included, get no response.
        Silent,
        // The calls are refused at once.
        Refused
    };

    // Hosts of one data centre on a fake clock, without a network. Each host reads
    // when it should, and its reports reach the others immediately. A read is a call
    // that the store may delay, and two more for the tables that may have changed then.
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

        void setAccess(unsigned host, store_access access) { m_hosts[host].access = access; }
        // The calls of a host that can't reach the store get no response.
        void setReachesStore(unsigned host, bool reachesStore) { setAccess(host, reachesStore ? store_access::Answered : store_access::Silent); }
        // A dead host sends no reports and makes no calls.
        void setAlive(unsigned host, bool isAlive) { m_hosts[host].isAlive = isAlive; }
        void setFirstReadAt(unsigned host, instant at) { m_hosts[host].choice.setFirstReadAt(at); }
        void setCandidate(unsigned host, bool isCandidate) { m_hosts[host].choice.setCandidate(isCandidate); }
        // Reports and changes of an unreachable host don't arrive at its neighbours.
        void setReachable(unsigned host, bool isReachable) { m_hosts[host].isReachable = isReachable; }

        // Sets the time from a call to a response that the store does not delay.
        void setRoundTrip(duration roundTrip) { m_roundTrip = roundTrip; }

        // Changes the configuration now. Such a change ends no delay of a response.
        void changeConfig() { m_changedAt = m_now; }

        // Lets each host read by itself for a while, as after earlier outages.
        void letEachHostRead()
        {
            for (host_row& it : m_hosts)
                it.isReachable = false;
            run(3s);
            for (host_row& it : m_hosts)
                it.isReachable = true;
            run(5s);
        }

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
        // Returns the hosts other than the given one, those that take over first in front.
        std::vector<unsigned> successorsOf(unsigned reader) const
        {
            std::vector<unsigned> hosts;
            for (unsigned index = 0; index < m_hosts.size(); ++index) {
                if (index != reader)
                    hosts.push_back(index);
            }
            std::sort(hosts.begin(), hosts.end(), [this](unsigned host, unsigned other) { return m_hosts[host].choice.nextReadAt(m_now) < m_hosts[other].choice.nextReadAt(m_now); });
            return hosts;
        }
        // Returns when the present call of a host began.
        instant callBeganAt(unsigned host) const { return m_hosts[host].call ? m_hosts[host].call->beganAt : distantPast; }
        instant now() const { return m_now; }

        // Returns the maximum age of the latest confirmation that a live host knew.
        duration maxConfirmationAge() const { return m_maxConfirmationAge; }

        // Returns how long after the change the last live host that the store answers knew it,
        // or nullopt if one does not know it yet.
        std::optional<duration> timeToApply() const
        {
            duration longest {};
            for (const host_row& it : m_hosts) {
                if (!it.isAlive || it.access != store_access::Answered)
                    continue;
                if (!it.knewChangeAt)
                    return std::nullopt;
                longest = std::max(longest, *it.knewChangeAt - m_changedAt);
            }
            return longest;
        }

    private:
        struct store_call {
            instant beganAt;
            // When the store decides on the first response, and when the last one arrives.
            instant readsAt;
            instant endsAt;
        };

        struct host_row {
            reader_choice choice;
            store_access access = store_access::Answered;
            bool isAlive = true;
            bool isReachable = true;
            unsigned calls = 0;
            instant nextCallAt = distantPast;
            std::optional<store_call> call;
            instant lastKnownAt = begin;
            std::optional<instant> knewChangeAt;
        };

        static std::string nameOf(unsigned index) { return "host-" + std::to_string(index); }

        void runHost(unsigned index)
        {
            host_row& it = m_hosts[index];
            if (!it.isAlive)
                return;
            finishCall(index);
            if (!it.call && it.choice.shouldRead(m_now) && m_now >= it.nextCallAt) {
                ++it.calls;
                const instant readsAt = m_now + it.choice.allowedWait(duration::zero(), m_now) + m_roundTrip / 2;
                it.call = { m_now, readsAt, readsAt + m_roundTrip / 2 + 2 * m_roundTrip };
            }
            report(index);
            const auto known = it.choice.latestReader(m_now);
            it.lastKnownAt = std::max({ it.lastKnownAt, it.choice.ownConfirmation(m_now).value_or(distantPast), known ? known->confirmation.respondedAt : distantPast });
            m_maxConfirmationAge = std::max(m_maxConfirmationAge, m_now - it.lastKnownAt);
        }

        void finishCall(unsigned index)
        {
            host_row& it = m_hosts[index];
            if (!it.call)
                return;
            if (it.access == store_access::Answered) {
                if (m_now < it.call->endsAt)
                    return;
                it.choice.recordOwnConfirmation(it.call->readsAt + m_roundTrip / 2);
                if (m_changedAt != distantPast && it.call->readsAt >= m_changedAt)
                    relayChange(index);
            } else {
                if (it.access == store_access::Silent && m_now < it.call->readsAt + callTimeout)
                    return;
                it.choice.recordOwnFailure();
                it.nextCallAt = m_now + (it.choice.latestReader(m_now) ? retryIntervalWithOtherReader : retryDelay);
            }
            it.call.reset();
        }

        void relayChange(unsigned index)
        {
            for (unsigned other = 0; other < m_hosts.size(); ++other) {
                host_row& it = m_hosts[other];
                if ((other == index || (it.isAlive && m_hosts[index].isReachable)) && !it.knewChangeAt)
                    it.knewChangeAt = m_now;
            }
        }

        void report(unsigned index)
        {
            const host_row& it = m_hosts[index];
            std::optional<store_confirmation> confirmation;
            if (const auto confirmedAt = it.choice.ownConfirmation(m_now))
                confirmation = store_confirmation { *confirmedAt, {} };
            for (unsigned other = 0; other < m_hosts.size(); ++other) {
                if (other != index && m_hosts[other].isAlive && it.isReachable)
                    m_hosts[other].choice.recordNeighbour(nameOf(index), confirmation, m_now);
            }
        }

        std::vector<host_row> m_hosts;
        instant m_now = begin;
        duration m_roundTrip {};
        instant m_changedAt = distantPast;
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

// Guards against the same where the calls of the host that ranks first take longer than the others wait for each other.
TEST_CASE("pattern: hosts that start together choose one reader although its first calls take a while", "[reader]")
{
    constexpr unsigned hosts = 8;
    constexpr duration initialWait = 600ms;
    for (unsigned late = 0; late < hosts; ++late) {
        for (const duration delay : { 0ms, 60ms, 300ms, 480ms }) {
            INFO("host " << late << " is late by " << delay / 1ms << " ms");
            reading_fleet fleet(hosts);
            fleet.setRoundTrip(50ms);
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

// Guards against changes that come into force late because the hosts that take over from a reader wait where only a
// change of another table would end the wait.
TEST_CASE("a change is in force within 2.5 s at each host that the store answers, however the reader fails", "[reader]")
{
    constexpr duration configBound = 2500ms;
    constexpr unsigned hosts = 8;
    struct row {
        const char* name;
        std::function<void(reading_fleet&, unsigned reader, const std::vector<unsigned>& successors)> fail;
    };
    const std::vector<row> rows {
        { "nothing fails", [](reading_fleet&, unsigned, const auto&) {} },
        { "the store does not answer the reader", [](reading_fleet& it, unsigned reader, const auto&) { it.setAccess(reader, store_access::Silent); } },
        { "the store refuses the reader", [](reading_fleet& it, unsigned reader, const auto&) { it.setAccess(reader, store_access::Refused); } },
        { "the store answers neither the reader nor the next two",
            [](reading_fleet& it, unsigned reader, const auto& successors) {
                for (const unsigned host : { reader, successors[0], successors[1] })
                    it.setAccess(host, store_access::Silent);
            } },
        { "the store answers only the last successor",
            [](reading_fleet& it, unsigned reader, const auto& successors) {
                it.setAccess(reader, store_access::Silent);
                for (std::size_t index = 0; index + 1 < successors.size(); ++index)
                    it.setAccess(successors[index], index % 2 ? store_access::Refused : store_access::Silent);
            } },
        { "the reader dies or freezes", [](reading_fleet& it, unsigned reader, const auto&) { it.setAlive(reader, false); } },
        { "the reader is cut off from its neighbours", [](reading_fleet& it, unsigned reader, const auto&) { it.setReachable(reader, false); } },
        { "the reader dies, and the store does not answer the next",
            [](reading_fleet& it, unsigned reader, const auto& successors) {
                it.setAlive(reader, false);
                it.setAccess(successors[0], store_access::Silent);
            } },
        { "the reader is about to stop", [](reading_fleet& it, unsigned reader, const auto&) { it.setCandidate(reader, false); } },
    };
    for (const row& it : rows) {
        for (duration age = 0ms; age < 1100ms; age += 100ms) {
            INFO(it.name << ", " << age / 1ms << " ms after the last call began");
            reading_fleet fleet(hosts);
            fleet.setRoundTrip(50ms);
            fleet.letEachHostRead();
            fleet.resetCalls();
            fleet.run(5s);
            const unsigned reader = fleet.reader();
            const instant callBeganAt = fleet.callBeganAt(reader);
            while (fleet.callBeganAt(reader) <= callBeganAt)
                fleet.run(tick);
            fleet.run(age);
            it.fail(fleet, reader, fleet.successorsOf(reader));
            fleet.changeConfig();
            fleet.run(5s);
            REQUIRE(fleet.timeToApply());
            CHECK(*fleet.timeToApply() <= configBound);
        }
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
    choice.recordNeighbour("host-b", store_confirmation { begin, { { { 0, 1 }, { 0, 2 }, { 0, 3 } } } }, begin);
    REQUIRE(choice.latestReader(begin));
    CHECK(choice.latestReader(begin)->confirmation.lastChanges[1].version == 2);
    choice.recordNeighbour("host-b", std::nullopt, begin + 10ms);
    CHECK_FALSE(choice.latestReader(begin + 10ms));
    CHECK(choice.shouldRead(begin + 10ms + reader_settings {}.maxStagger));
}

} // namespace almondmoor
