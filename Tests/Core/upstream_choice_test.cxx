// The choice of upstreams under the load patterns that it answers.

#include "Core/rendezvous.h"
#include "Core/upstream_choice.h"

#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace almondmoor {

namespace {

    constexpr duration ms(int count)
    {
        return std::chrono::milliseconds(count);
    }

    const region_map regions { { "lag-1", "lagos" }, { "lag-2", "lagos" }, { "kan-1", "kano" } };

    directory_entry entry(const std::string& id, const std::string& dataCentre, unsigned slots = 3)
    {
        directory_entry it;
        it.id = id;
        it.address = "10.0.0.1:80";
        it.service = "orders";
        it.dataCentre = dataCentre;
        it.slots = slots;
        return it;
    }

    // Several upstreams, a host in lag-1 and a clock.
    class scene {
    public:
        explicit scene(const std::vector<directory_entry>& entries)
        {
            for (const directory_entry& it : entries)
                m_directory[it.id] = it;
            choice.adopt(m_directory, now);
        }

        // Returns the id of the chosen upstream, or an empty string.
        std::string choose(bool mayFail, duration timeLeft = ms(1500))
        {
            last = choice.choose({ "orders", mayFail, nullptr, timeLeft, ms(600) }, now, random);
            return last.upstream ? last.upstream->id : std::string();
        }

        // Makes one attempt that ends at once with a result.
        std::string attempt(bool mayFail, const std::function<attempt_result(const std::string&)>& run)
        {
            std::string id = choose(mayFail);
            if (!id.empty())
                choice.finish(id, run(id), ms(150), now);
            return id;
        }

        void change(const directory_entry& it)
        {
            m_directory[it.id] = it;
            choice.adopt(m_directory, now);
        }

        instant now { std::chrono::hours(1) };
        std::mt19937_64 random { 7 };
        upstream_choice choice { choice_settings {}, "lag-1", regions };
        choice_result last;

    private:
        upstream_directory m_directory;
    };

    attempt_result good(const std::string&)
    {
        return attempt_result::Good;
    }

    std::vector<directory_entry> nearUpstreams(int count)
    {
        std::vector<directory_entry> entries;
        entries.reserve(static_cast<std::size_t>(count));
        for (int index = 0; index < count; ++index)
            entries.push_back(entry("n" + std::to_string(index), "lag-1"));
        return entries;
    }

} // namespace

TEST_CASE("pattern: one of five upstreams resets most of its requests for ten seconds", "[choice]")
{
    scene it(nearUpstreams(5));
    const auto run = [](const std::string& id) { return id == "n0" ? attempt_result::Crashed : attempt_result::Good; };
    unsigned lostUnsafe = 0;
    unsigned lostSafe = 0;
    // 25 requests per second, a quarter of them idempotent.
    for (int index = 0; index < 250; ++index) {
        const bool mayFail = index % 4 == 0;
        const std::string id = it.attempt(mayFail, run);
        lostUnsafe += !mayFail && id == "n0" ? 1 : 0;
        lostSafe += mayFail && id == "n0" ? 1 : 0;
        it.now += ms(40);
    }
    // Requests that must not be repeated find it out at most once.
    CHECK(lostUnsafe <= 1);
    // Idempotent ones look after it, about once a second at most.
    CHECK(lostSafe >= 3);
    CHECK(lostSafe <= 25);
}

TEST_CASE("pattern: an upstream that failed works again", "[choice]")
{
    scene it(nearUpstreams(3));
    for (int index = 0; index < 3; ++index)
        it.choice.noteRemote("n0", attempt_result::Crashed, ms(2), it.now);
    CHECK(it.choice.failingProbability("n0") > 0.9);
    unsigned used = 0;
    for (int index = 0; index < 200; ++index) {
        used += it.attempt(index % 4 == 0, good) == "n0" ? 1 : 0;
        it.now += ms(40);
    }
    CHECK(used >= 20);
    CHECK(it.choice.failingProbability("n0") < 0.1);
}

TEST_CASE("pattern: a service without idempotent requests uses all its near upstreams", "[choice]")
{
    scene it({ entry("n0", "lag-1", 6), entry("n1", "lag-1", 6) });
    std::map<std::string, instant> usedAt { { "n0", it.now }, { "n1", it.now } };
    // Two requests per second, so that nothing ever queues.
    for (int index = 0; index < 60; ++index) {
        usedAt[it.attempt(false, good)] = it.now;
        for (const auto& [id, at] : usedAt) {
            INFO(id);
            CHECK(it.now - at <= ms(2000));
        }
        it.now += ms(500);
    }
}

TEST_CASE("near upstreams go first, but not into a long queue", "[choice]")
{
    scene it({ entry("near", "lag-1"), entry("region", "lag-2"), entry("far", "kan-1") });
    it.now += ms(1);
    // One second of exploration makes no difference between used ones.
    it.attempt(false, good);
    CHECK(it.choose(false) == "near");
    it.choice.setInFlight("peer", { { "near", 11 } }, it.now);
    CHECK(it.choose(false) == "region");
    it.choice.setInFlight("peer", { { "near", 11 }, { "region", 11 } }, it.now);
    CHECK(it.choose(false) == "far");
}

TEST_CASE("what neighbours have in flight counts, and is forgotten when they fall silent", "[choice]")
{
    scene it(nearUpstreams(2));
    it.attempt(false, good);
    it.attempt(false, good);
    it.choice.setInFlight("peer", { { "n0", 5 } }, it.now);
    for (int index = 0; index < 5; ++index)
        CHECK(it.attempt(false, good) == "n1");
    it.choice.setInFlight("peer", { { "n1", 12 } }, it.now);
    CHECK(it.choose(false) == "n0");
    it.now += ms(2000);
    it.choice.setInFlight("other", { { "n0", 12 } }, it.now);
    CHECK(it.choose(false) == "n1");
}

TEST_CASE("a request that no upstream can serve in time is refused at once", "[choice]")
{
    scene it(nearUpstreams(2));
    it.choice.setInFlight("peer", { { "n0", 9 }, { "n1", 9 } }, it.now);
    CHECK(it.choose(false, ms(100)).empty());
    CHECK(it.last.refusal == choice_refusal::NoRoom);
    CHECK(it.last.roomIn > ms(100));
    CHECK_FALSE(it.choose(false, ms(1500)).empty());
}

TEST_CASE("an upstream that leaves gets no new work", "[choice]")
{
    scene it(nearUpstreams(1));
    directory_entry leaving = entry("n0", "lag-1");
    leaving.isLeaving = true;
    it.change(leaving);
    CHECK(it.choose(false).empty());
    CHECK(it.last.refusal == choice_refusal::NoUpstream);
    CHECK_FALSE(it.choice.takesNewWork("n0"));
}

TEST_CASE("an upstream out of reach is left alone for a while", "[choice]")
{
    scene it(nearUpstreams(2));
    const auto run = [](const std::string& id) { return id == "n0" ? attempt_result::Unreachable : attempt_result::Good; };
    unsigned tries = 0;
    for (int index = 0; index < 40; ++index) {
        tries += it.attempt(false, run) == "n0" ? 1 : 0;
        it.now += ms(100);
    }
    CHECK(tries >= 1);
    CHECK(tries <= 5);
    // The path says nothing about the upstream itself.
    CHECK(it.choice.failingProbability("n0") < 0.5);
}

TEST_CASE("results move the probability of failing by their weight", "[choice]")
{
    struct row {
        attempt_result result;
        double least;
        double most;
    };
    const std::array<row, 5> rows { {
        { attempt_result::Good, 0.0, 0.05 },
        { attempt_result::Failed, 0.2, 0.8 },
        { attempt_result::Crashed, 0.8, 1.0 },
        { attempt_result::Unreachable, 0.0, 0.1 },
        { attempt_result::Shed, 0.0, 0.1 },
    } };
    for (const row& expected : rows) {
        scene it(nearUpstreams(1));
        it.attempt(false, good);
        it.now += ms(300);
        it.choice.noteRemote("n0", expected.result, ms(100), it.now);
        INFO(std::string(nameIn(attemptResultNames, expected.result)));
        CHECK(it.choice.failingProbability("n0") >= expected.least);
        CHECK(it.choice.failingProbability("n0") <= expected.most);
    }
}

// Checks that hosts spread that all choose at one instant.
static void checkSpread(bool hearStarts)
{
    constexpr unsigned hosts = 18;
    constexpr unsigned upstreams = 42;
    constexpr unsigned slots = 3;
    upstream_directory directory;
    for (unsigned index = 0; index < upstreams; ++index) {
        const directory_entry it = entry("i-" + std::to_string(index), "lag-1", slots);
        directory[it.id] = it;
    }
    instant now { std::chrono::hours(1) };
    std::vector<upstream_choice> choices;
    for (unsigned host = 0; host < hosts; ++host) {
        choices.emplace_back(choice_settings {}, "lag-1", regions, host);
        choices.back().adopt(directory, now);
    }
    // A neighbour was at each but the first of late, and all hear of it.
    now += ms(2000);
    for (unsigned index = 0; index < upstreams; ++index) {
        for (upstream_choice& it : choices) {
            if (hearStarts)
                it.noteRemoteStart("i-" + std::to_string(index), now);
            if (index > 0)
                it.noteRemote("i-" + std::to_string(index), attempt_result::Good, ms(150), now);
        }
    }
    for (const bool mayFail : { true, false }) {
        std::map<std::string, unsigned> counts;
        for (unsigned host = 0; host < hosts; ++host) {
            std::mt19937_64 random(host);
            const choice_result it = choices[host].choose({ "orders", mayFail, nullptr, ms(1500), ms(600) }, now, random);
            REQUIRE(it.upstream);
            ++counts[it.upstream->id];
        }
        for (const auto& [id, count] : counts)
            CHECK(count <= slots);
    }
}

TEST_CASE("pattern: hosts that hear the same do not meet at one upstream", "[choice]")
{
    checkSpread(false);
}

TEST_CASE("pattern: hosts that hear where work was sent do not meet at one upstream", "[choice]")
{
    checkSpread(true);
}

// Guards against hosts that all make the same trial before they hear of each other's.
TEST_CASE("pattern: hosts take turns at an upstream that is due for work", "[choice]")
{
    constexpr unsigned hosts = 18;
    constexpr duration newsTime = ms(20);
    upstream_directory directory;
    for (unsigned index = 0; index < 42; ++index) {
        const directory_entry it = entry("i-" + std::to_string(index), "lag-1");
        directory[it.id] = it;
    }
    instant now { std::chrono::hours(1) };
    std::vector<upstream_choice> choices;
    for (unsigned host = 0; host < hosts; ++host) {
        choices.emplace_back(choice_settings {}, "lag-1", regions, stableHash(std::to_string(host)));
        choices.back().adopt(directory, now);
    }
    const auto hearEachOther = [&] {
        for (unsigned host = 0; host < hosts; ++host) {
            for (unsigned peer = 0; peer < hosts; ++peer) {
                if (peer != host)
                    choices[host].setInFlight(std::to_string(peer), choices[peer].ownInFlight(), now);
            }
        }
    };
    // Two hundred requests per second at hosts drawn by chance; all hear of each in time.
    std::mt19937_64 random(5);
    std::map<std::string, std::vector<instant>> trials;
    std::map<std::string, instant> startedAt;
    std::vector<std::pair<instant, std::string>> news;
    for (unsigned index = 0; index < 2000; ++index) {
        now += ms(5);
        hearEachOther();
        while (!news.empty() && news.front().first <= now) {
            for (upstream_choice& it : choices)
                it.noteRemoteStart(news.front().second, now - newsTime);
            news.erase(news.begin());
        }
        const choice_result it = choices[random() % hosts].choose({ "orders", index % 3 == 0, nullptr, ms(1500), ms(600) }, now, random);
        REQUIRE(it.upstream);
        const std::string id = it.upstream->id;
        for (upstream_choice& host : choices)
            host.finish(id, attempt_result::Good, ms(150), now);
        if (it.isTrial)
            trials[id].push_back(now);
        startedAt[id] = now;
        news.emplace_back(now + newsTime, id);
    }
    for (const auto& [id, at] : trials) {
        for (std::size_t index = 2; index < at.size(); ++index) {
            INFO(id);
            CHECK(at[index] - at[index - 2] > newsTime);
        }
    }
    for (const auto& [id, entry] : directory) {
        INFO(id);
        CHECK(now - startedAt[id] < ms(2000));
    }
}

// Guards against sound upstreams that look slow since the service was first met with
// a trivial request.
TEST_CASE("the first answer of a service does not make usual ones look slow", "[choice]")
{
    for (const duration first : { ms(1), ms(3), ms(3000) }) {
        scene it(nearUpstreams(2));
        const auto attempt = [&](duration latency) {
            const std::string id = it.choose(false);
            const finish_audience audience = it.choice.finish(id, attempt_result::Good, latency, it.now);
            it.now += ms(100);
            return audience;
        };
        attempt(first);
        unsigned unexpected = 0;
        for (int index = 0; index < 20; ++index)
            unexpected += attempt(ms(200)) == finish_audience::Nobody ? 0 : 1;
        INFO(first.count());
        CHECK(unexpected <= 2);
    }
}

} // namespace almondmoor
