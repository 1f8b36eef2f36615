// Benchmarks behind docs/CAPACITY.md: what state, messages and processor time
// cost at several sizes. Sizes are tenths of the design size: 10 is all of it.

#include "Core/command.h"
#include "Core/fleet_member.h"
#include "Core/traffic_core.h"
#include "peer_codec.h"

#include <absl/strings/str_cat.h>
#include <benchmark/benchmark.h>
#include <fstream>

namespace almondmoor {

namespace {

    constexpr unsigned designTeams = 45'000;
    constexpr unsigned designRoutes = 15'000;
    constexpr unsigned designUpstreams = 14'000;
    constexpr unsigned designServices = 370;
    constexpr unsigned designHosts = 1'000;
    constexpr unsigned dataCentres = 8;
    constexpr unsigned fullSize = 10;

    std::string hashOf(unsigned number)
    {
        return absl::StrCat(absl::Hex(0x1234567890abcdefULL + number, absl::kZeroPad16), absl::Hex(number, absl::kZeroPad16),
            absl::Hex(~number, absl::kZeroPad16), absl::Hex(number * 31U, absl::kZeroPad16));
    }

    std::vector<std::string> commandsFor(unsigned tenths)
    {
        std::vector<std::string> commands;
        const unsigned teams = designTeams * tenths / fullSize;
        for (unsigned index = 0; index < teams; ++index) {
            commands.push_back(absl::StrCat("create team team-", index, " rate 4/s burst 20"));
            commands.push_back(absl::StrCat("create key k-", index, " for team team-", index, " hash ", hashOf(index)));
        }
        const unsigned services = std::max(1U, designServices * tenths / fullSize);
        for (unsigned index = 0; index < services; ++index)
            commands.push_back(absl::StrCat("create service service-", index, " floor 60%"));
        for (unsigned index = 0; index < designUpstreams * tenths / fullSize; ++index)
            commands.push_back(absl::StrCat("create upstream 10.", index / 60'000, ".", index / 250 % 250, ".", index % 250 + 1, ":8080 for service service-", index % services,
                " in lagos-", index % dataCentres));
        for (unsigned index = 0; index < designRoutes * tenths / fullSize; ++index)
            commands.push_back(absl::StrCat("create route /route-", index, "/work to service-", index % services, " teams any repeatable"));
        for (unsigned index = 0; index < designHosts * tenths / fullSize; ++index)
            commands.push_back(absl::StrCat("join host host-", index, " incarnation 1 at 10.9.", index / 250, ".", index % 250 + 1, ":8082 in lagos-", index % dataCentres));
        for (unsigned shard = 0; shard < shardCount; ++shard)
            commands.push_back(absl::StrCat("assign shards ", shard, " on host-", shard % std::max(1U, designHosts * tenths / fullSize), " incarnation 1 unused"));
        return commands;
    }

    configuration configurationFor(unsigned tenths)
    {
        return *configuration::fromSnapshot(1, commandsFor(tenths));
    }

    std::size_t residentBytes()
    {
        std::ifstream statistics("/proc/self/statm");
        std::size_t total = 0;
        std::size_t resident = 0;
        statistics >> total >> resident;
        return resident * 4096;
    }

    unsigned sizeOf(const benchmark::State& state)
    {
        return static_cast<unsigned>(state.range(0));
    }

    void loadConfiguration(benchmark::State& state)
    {
        const auto commands = commandsFor(sizeOf(state));
        std::size_t bytes = 0;
        for (const auto& command : commands)
            bytes += command.size() + 1;
        const std::size_t before = residentBytes();
        std::vector<configuration> kept;
        for (auto _ : state)
            kept.push_back(*configuration::fromSnapshot(1, commands));
        state.counters["snapshotBytes"] = static_cast<double>(bytes);
        state.counters["residentBytes"] = static_cast<double>(residentBytes() - before) / static_cast<double>(kept.size());
    }

    void applyChange(benchmark::State& state)
    {
        configuration held = configurationFor(sizeOf(state));
        unsigned number = 0;
        for (auto _ : state) {
            auto next = std::make_shared<configuration>(held);
            (void)next->apply(change { "c", held.version() + 1, "ops", 0, absl::StrCat("create team new-", number++, " rate 1/s burst 1") });
            benchmark::DoNotOptimize(next);
        }
    }

    void lookUp(benchmark::State& state)
    {
        const configuration held = configurationFor(sizeOf(state));
        const unsigned teams = designTeams * sizeOf(state) / fullSize;
        const unsigned routes = designRoutes * sizeOf(state) / fullSize;
        unsigned number = 0;
        for (auto _ : state) {
            benchmark::DoNotOptimize(held.findKey(hashOf(number % teams)));
            benchmark::DoNotOptimize(held.findRoute(absl::StrCat("/route-", number % routes, "/work/today")));
            ++number;
        }
    }

    // What a request costs in the traffic core, from admission to its evidence.
    void decideRequest(benchmark::State& state)
    {
        traffic_core traffic({}, "host-0", "lagos-0", 1);
        const instant start(std::chrono::hours(1));
        // A host at the design size is to know some 200 upstreams.
        configuration held;
        config_version version = 0;
        const auto apply = [&](const std::string& command) { (void)held.apply(change { "c", ++version, "ops", 0, command }); };
        for (unsigned index = 0; index < 8; ++index)
            apply(absl::StrCat("create service service-", index));
        for (unsigned index = 0; index < sizeOf(state); ++index)
            apply(absl::StrCat("create upstream 10.0.0.", index + 1, ":80 for service service-", index % 8, " in lagos-0 slots 64"));
        traffic.adopt(std::make_shared<configuration>(held), true, true, start);
        instant now = start;
        queue_ticket ticket = 1;
        for (auto _ : state) {
            now += std::chrono::milliseconds(6);
            const std::string service = absl::StrCat("service-", ticket % 8);
            benchmark::DoNotOptimize(traffic.admit("team", now));
            traffic.stopWaiting("team");
            traffic.enqueue(service, "team", ticket++, now);
            for (const auto& grant : traffic.grantSlots(service, now)) {
                traffic.finishAttempt(attempt_sample { grant.upstream, attempt_result::Good, 12, 0, 1 }, now);
                traffic.releaseSlot(service, "team", std::chrono::milliseconds(20));
            }
            if (ticket % 32 == 0)
                benchmark::DoNotOptimize(traffic.takeSamples());
        }
    }

    void tickHealth(benchmark::State& state)
    {
        traffic_core traffic({}, "host-0", "lagos-0", 1);
        traffic.adopt(std::make_shared<configuration>(configurationFor(sizeOf(state))), true, true, instant(std::chrono::hours(1)));
        instant now(std::chrono::hours(1));
        for (auto _ : state) {
            now += std::chrono::milliseconds(50);
            benchmark::DoNotOptimize(traffic.tick(now));
        }
    }

    // One exchange between relays, with a statement about every host.
    void exchangeStatements(benchmark::State& state)
    {
        const unsigned hosts = designHosts * sizeOf(state) / fullSize;
        peer_message message;
        message.sender = "host-0";
        for (unsigned index = 0; index < hosts; ++index)
            message.versionReports.push_back(relayed_version_report { absl::StrCat("host-", index), 1'796'000'000'000, 5'000'000, 250 });
        std::size_t bytes = 0;
        for (auto _ : state) {
            const std::string text = toWire(message).SerializeAsString();
            wire::PeerMessage parsed;
            parsed.ParseFromString(text);
            benchmark::DoNotOptimize(fromWire(parsed));
            bytes = text.size();
        }
        state.counters["messageBytes"] = static_cast<double>(bytes);
    }

    void exchangeEvidence(benchmark::State& state)
    {
        peer_message message;
        message.sender = "host-0";
        health_report report { "host-1", 1'796'000'000'000, "lagos-0", 1'000'000, {} };
        for (unsigned index = 0; index < sizeOf(state); ++index)
            report.samples.push_back(attempt_sample { absl::StrCat("10.0.0.", index % 250, ":8080"), attempt_result::Good, 12, 0, 1 });
        message.healthReports.push_back(report);
        std::size_t bytes = 0;
        for (auto _ : state) {
            const std::string text = toWire(message).SerializeAsString();
            benchmark::DoNotOptimize(text);
            bytes = text.size();
        }
        state.counters["messageBytes"] = static_cast<double>(bytes);
    }

    void exchangeShares(benchmark::State& state)
    {
        peer_message message;
        message.sender = "host-0";
        for (unsigned index = 0; index < sizeOf(state); ++index)
            message.shareReports.push_back(share_report { absl::StrCat("team-", index), 1000, 100'000 + index, 1.5, 2.5, 0, 0.5, 1, 1, 100'000 });
        std::size_t bytes = 0;
        for (auto _ : state) {
            const std::string text = toWire(message).SerializeAsString();
            benchmark::DoNotOptimize(text);
            bytes = text.size();
        }
        state.counters["messageBytes"] = static_cast<double>(bytes);
    }

    // A home answers one report of one of its teams.
    void answerReport(benchmark::State& state)
    {
        const configuration held = configurationFor(sizeOf(state));
        allowance_home home({}, std::chrono::seconds(4));
        const instant start(std::chrono::hours(1));
        const std::size_t before = residentBytes();
        home.adopt(held, "host-0", 1, start);
        const std::size_t after = residentBytes();
        std::vector<std::string> mine;
        for (const auto& [name, row] : held.teams()) {
            if (held.shardHomes().at(shardOf(name)).host == "host-0")
                mine.push_back(name);
        }
        instant now = start;
        std::uint64_t sequence = 1;
        for (auto _ : state) {
            now += std::chrono::milliseconds(1);
            const share_report report { mine[sequence % mine.size()], 1, sequence, 0, 0, 0, 1, 1, 0, sequence };
            benchmark::DoNotOptimize(home.answer("host-1", 1, report, now));
            ++sequence;
        }
        state.counters["teams"] = static_cast<double>(mine.size());
        state.counters["residentBytes"] = static_cast<double>(after - before);
    }

    BENCHMARK(loadConfiguration)->Arg(1)->Arg(5)->Arg(10)->Unit(benchmark::kMillisecond)->Iterations(3);
    BENCHMARK(applyChange)->Arg(1)->Arg(5)->Arg(10)->Unit(benchmark::kMillisecond);
    BENCHMARK(lookUp)->Arg(1)->Arg(5)->Arg(10);
    BENCHMARK(decideRequest)->Arg(50)->Arg(100)->Arg(200);
    BENCHMARK(tickHealth)->Arg(1)->Arg(5)->Arg(10)->Unit(benchmark::kMicrosecond);
    BENCHMARK(exchangeStatements)->Arg(1)->Arg(5)->Arg(10)->Unit(benchmark::kMicrosecond);
    BENCHMARK(exchangeEvidence)->Arg(1)->Arg(10)->Arg(100)->Unit(benchmark::kMicrosecond);
    BENCHMARK(exchangeShares)->Arg(1)->Arg(10)->Arg(100)->Unit(benchmark::kMicrosecond);
    BENCHMARK(answerReport)->Arg(1)->Arg(5)->Arg(10);

} // namespace

} // namespace almondmoor

BENCHMARK_MAIN();
