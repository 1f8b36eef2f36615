// Tests how hosts share the quarantine of requests that crash upstreams: every host learns of it, whatever kept it from
// hearing of it when it began, and it ends although hosts tell it again and again.

#include "Core/dispatch_core.h"

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace almondmoor {

namespace {

    using namespace std::chrono_literals;

    constexpr instant begin { std::chrono::hours(1) };
    constexpr duration step = 250ms;
    constexpr duration latency = 100ms;
    constexpr std::uint64_t fingerprint = 77;
    constexpr duration quarantineTime = 60s;
    // Time within which a host that is in touch with others must know what they refuse.
    constexpr duration contactTime = 3s;

    upstream_directory directoryOf(int count)
    {
        upstream_directory directory;
        for (int index = 0; index < count; ++index) {
            const std::string id = "u" + std::to_string(index);
            directory[id] = { id, "10.0.0.1:80", "orders", "d1", 3 };
        }
        return directory;
    }

    // Hosts that report to each other every step. A report takes some time, by which all that it tells gets older, and
    // may be lost.
    class reporting_hosts {
    public:
        reporting_hosts(std::map<std::string, std::string> dataCentres, duration transit, double lossRate)
            : m_dataCentres(std::move(dataCentres))
            , m_transit(transit)
            , m_lossRate(lossRate)
        {
            for (const auto& [host, dataCentre] : m_dataCentres)
                start(host);
        }

        // Starts a host, or starts it anew.
        void start(const std::string& host)
        {
            auto core = std::make_unique<dispatch_core>(dispatch_settings {}, host, m_dataCentres.at(host), region_map {}, ++m_starts);
            core->applyDirectory(directoryOf(6), m_now);
            m_incarnations[host] = m_starts;
            m_cores[host] = std::move(core);
        }

        // Cuts hosts off from all others, or ends that.
        void setCutOff(const std::vector<std::string>& hosts, bool isCutOff)
        {
            for (const std::string& host : hosts) {
                if (isCutOff)
                    m_cutOff.insert(host);
                else
                    m_cutOff.erase(host);
            }
        }

        void crash(const std::string& host, const std::string& upstream)
        {
            at(host).finishAttempt({ upstream, attempt_result::Crashed, latency, fingerprint }, m_now);
        }

        // Lets the hosts report for a time.
        void run(duration time)
        {
            for (const instant end = m_now + time; m_now < end; m_now += step) {
                for (const auto& [host, core] : m_cores)
                    report(host);
            }
        }

        bool isQuarantined(const std::string& host) { return at(host).isQuarantined(fingerprint, m_now); }
        unsigned quarantinedCount()
        {
            unsigned count = 0;
            for (const auto& [host, core] : m_cores)
                count += core->isQuarantined(fingerprint, m_now) ? 1 : 0;
            return count;
        }

        dispatch_core& at(const std::string& host) { return *m_cores.at(host); }
        instant now() const { return m_now; }

    private:
        bool reaches(const std::string& from, const std::string& to)
        {
            const bool isLost = std::uniform_real_distribution<double>(0, 1)(m_random) < m_lossRate;
            return from != to && !isLost && !m_cutOff.count(from) && !m_cutOff.count(to);
        }

        void age(std::vector<quarantined_request>& requests) const
        {
            for (quarantined_request& it : requests)
                it.lastCrashAt += m_transit;
        }

        void report(const std::string& from)
        {
            dispatch_core& sender = at(from);
            sender.tick(m_now);
            neighbour_report report = sender.takeReport(m_now);
            dispatch_core::peer_report peerReport = sender.takePeerReport();
            report.incarnation = m_incarnations[from];
            report.sequence = ++m_sequence;
            age(report.quarantined);
            age(peerReport.quarantined);
            std::map<std::string, std::vector<std::string>> others;
            for (const auto& [to, dataCentre] : m_dataCentres) {
                if (dataCentre != m_dataCentres.at(from))
                    others[dataCentre].push_back(to);
                else if (reaches(from, to))
                    at(to).recordReport(report, m_now + m_transit);
            }
            if (peerReport.isEmpty())
                return;
            for (const auto& [dataCentre, hosts] : others) {
                const std::string& to = hosts[m_random() % hosts.size()];
                if (reaches(from, to))
                    at(to).recordPeerReport(peerReport, m_now + m_transit);
            }
        }

        std::map<std::string, std::string> m_dataCentres;
        duration m_transit;
        double m_lossRate;
        instant m_now = begin;
        std::uint64_t m_starts = 0;
        std::uint64_t m_sequence = 0;
        std::mt19937_64 m_random { 7 };
        std::map<std::string, std::uint64_t> m_incarnations;
        std::map<std::string, std::unique_ptr<dispatch_core>> m_cores;
        std::set<std::string> m_cutOff;
    };

    std::map<std::string, std::string> hostsOf(const std::map<std::string, unsigned>& counts)
    {
        std::map<std::string, std::string> hosts;
        for (const auto& [dataCentre, count] : counts) {
            for (unsigned index = 0; index < count; ++index)
                hosts[dataCentre + "-" + std::to_string(index)] = dataCentre;
        }
        return hosts;
    }

} // namespace

// Guards against hosts that send on a request which all others refuse, since they were told of it only once, when the
// quarantine began, and were not there or not in reach at that moment.
TEST_CASE("a host that missed the beginning of a quarantine learns of it within the contact time", "[quarantine]")
{
    struct row {
        const char* name;
        std::map<std::string, unsigned> hosts;
        std::vector<std::string> restarted;
        std::vector<std::string> cutOff;
        double lossRate;
    };
    const auto it = GENERATE(values<row>({
        { "a host is started, or started anew", { { "d1", 4 } }, { "d1-2" }, {}, 0 },
        { "the host that saw the crashes is started anew", { { "d1", 4 } }, { "d1-0" }, {}, 0 },
        { "one of two hosts is started anew", { { "d1", 2 } }, { "d1-0" }, {}, 0 },
        { "a host was frozen or cut off from all others", { { "d1", 4 }, { "d2", 4 } }, {}, { "d1-3" }, 0 },
        { "a host of another data centre is started anew", { { "d1", 4 }, { "d2", 4 } }, { "d2-1" }, {}, 0 },
        { "a whole data centre is started anew", { { "d1", 4 }, { "d2", 4 }, { "d3", 4 } }, { "d1-0", "d1-1", "d1-2", "d1-3" }, {}, 0 },
        { "a data centre was cut off", { { "d1", 4 }, { "d2", 2 } }, {}, { "d2-0", "d2-1" }, 0 },
        { "the only host of a data centre is started anew", { { "d1", 1 }, { "d2", 1 }, { "d3", 1 } }, { "d2-0" }, {}, 0 },
        { "all others of a large data centre are started anew, and every fifth report is lost", { { "d1", 30 }, { "d2", 6 } }, { "d2-0", "d2-1", "d2-2", "d2-3", "d2-4", "d2-5" }, {}, 0.2 },
    }));
    INFO(it.name);
    reporting_hosts hosts(hostsOf(it.hosts), 20ms, it.lossRate);
    hosts.run(2s);
    hosts.setCutOff(it.cutOff, true);
    hosts.crash("d1-0", "u0");
    hosts.crash("d1-0", "u1");
    hosts.run(20s);
    hosts.setCutOff(it.cutOff, false);
    for (const std::string& host : it.restarted)
        hosts.start(host);
    hosts.run(contactTime);
    CHECK(hosts.quarantinedCount() == hostsOf(it.hosts).size());
}

// Guards against quarantines without an end: what hosts tell each other gets later with each delivery, and hosts that are
// started anew take it from others.
TEST_CASE("a quarantine that hosts tell each other again and again ends", "[quarantine]")
{
    struct row {
        const char* name;
        duration transit;
        duration restartInterval;
    };
    const auto it = GENERATE(values<row>({
        { "reports arrive soon", 1ms, std::chrono::hours(1) },
        { "reports arrive late", 900ms, std::chrono::hours(1) },
        { "hosts are started anew in turn", 50ms, 1s },
        { "reports arrive late and hosts are started anew in turn", 200ms, 2s },
    }));
    INFO(it.name);
    const auto all = hostsOf({ { "d1", 5 }, { "d2", 3 }, { "d3", 1 } });
    reporting_hosts hosts(all, it.transit, 0);
    hosts.crash("d1-0", "u0");
    hosts.crash("d1-0", "u1");
    auto next = all.begin();
    const auto runFor = [&](duration time) {
        for (const instant end = hosts.now() + time; hosts.now() < end;) {
            hosts.run(std::min(it.restartInterval, duration(end - hosts.now())));
            hosts.start(next->first);
            next = std::next(next) == all.end() ? all.begin() : std::next(next);
        }
    };
    runFor(5s);
    CHECK(hosts.quarantinedCount() >= all.size() - 1);
    runFor(quarantineTime - 5s + crash_quarantine_settings {}.maxAgeError);
    CHECK(hosts.quarantinedCount() == 0);
    runFor(quarantineTime * 2);
    CHECK(hosts.quarantinedCount() == 0);
}

// Guards against a host that counts no crash of another data centre, although it tells its neighbours of it, and therefore
// sends the request to two more upstreams.
TEST_CASE("a crash counts at the host of another data centre that gets the report of it", "[quarantine]")
{
    reporting_hosts hosts(hostsOf({ { "d1", 1 }, { "d2", 1 }, { "d3", 1 } }), 20ms, 0);
    hosts.run(1s);
    hosts.crash("d1-0", "u0");
    hosts.run(2s);
    hosts.crash("d2-0", "u1");
    hosts.run(2s);
    CHECK(hosts.quarantinedCount() == 3);
}

TEST_CASE("a further crash prolongs a quarantine at all hosts, and a request may be quarantined anew", "[quarantine]")
{
    reporting_hosts hosts(hostsOf({ { "d1", 3 }, { "d2", 2 } }), 5ms, 0);
    hosts.crash("d1-0", "u0");
    hosts.crash("d1-1", "u1");
    hosts.run(30s);
    hosts.crash("d1-2", "u2");
    hosts.run(45s);
    CHECK(hosts.quarantinedCount() == 5);
    hosts.run(20s);
    CHECK(hosts.quarantinedCount() == 0);
    hosts.run(20s);
    hosts.crash("d2-0", "u3");
    hosts.run(1s);
    CHECK(hosts.quarantinedCount() == 0);
    hosts.crash("d2-0", "u4");
    hosts.run(2s);
    CHECK(hosts.quarantinedCount() == 5);
}

TEST_CASE("without quarantines hosts tell nothing of them, and many are told in parts", "[quarantine]")
{
    const fleet_quarantine_settings settings;
    fleet_quarantine quarantine(settings, 1);
    CHECK(quarantine.takeForNeighbours(4, begin).empty());
    CHECK(quarantine.takeForDataCentres().empty());
    for (std::uint64_t request = 0; request < settings.maxRepeated * 2; ++request) {
        quarantine.recordCrash(request, "u0", begin);
        quarantine.recordCrash(request, "u1", begin);
    }
    (void)quarantine.takeForNeighbours(4, begin);
    std::set<std::uint64_t> told;
    for (int second = 1; second < 30; ++second) {
        const auto part = quarantine.takeForNeighbours(4, begin + std::chrono::seconds(second));
        CHECK(part.size() <= settings.maxRepeated);
        for (const quarantined_request& it : part)
            told.insert(it.fingerprint);
    }
    CHECK(told.size() == settings.maxRepeated * 2);
}

// The reports of the hosts of a data centre together must not grow with their number.
TEST_CASE("the hosts of a data centre tell each host of a quarantine a few times per second, however many they are", "[quarantine]")
{
    const unsigned hosts = GENERATE(2U, 8U, 70U);
    const auto time = std::chrono::seconds(40);
    fleet_quarantine quarantine({}, 1);
    unsigned reports = 0;
    for (instant now = begin; now < begin + time; now += 10ms) {
        quarantine.recordCrash(fingerprint, "u" + std::to_string(now.time_since_epoch().count()), now);
        reports += quarantine.takeForNeighbours(hosts, now).empty() ? 0 : 1;
    }
    const double perSecond = reports * hosts / toSeconds(time);
    CHECK(perSecond > 1.5);
    CHECK(perSecond < 8);
}

} // namespace almondmoor
