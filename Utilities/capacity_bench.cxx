// Benchmarks for docs/CAPACITY.md: memory, message size and processor time at
// several fleet sizes. Sizes of the fleet are given in tenths of the design
// size, so 10 is the full design size. The arguments of decideRequest, encodeHealthReport
// and encodeShareReports are numbers of upstreams, samples and reports instead.

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
    constexpr unsigned dataCentreCount = 8;
    constexpr unsigned designSizeTenths = 10;

    std::string keyHash(unsigned number)
    {
        return absl::StrCat(absl::Hex(0x1234567890abcdefULL + number, absl::kZeroPad16), absl::Hex(number, absl::kZeroPad16),
            absl::Hex(~number, absl::kZeroPad16), absl::Hex(number * 31U, absl::kZeroPad16));
    }

    std::vector<std::string> configurationCommands(unsigned tenths)
    {
        std::vector<std::string> commands;
        const unsigned teams = designTeams * tenths / designSizeTenths;
        for (unsigned index = 0; index < teams; ++index) {
            commands.push_back(absl::StrCat("create team team-", index, " rate 4/s burst 20"));
            commands.push_back(absl::StrCat("create key k-", index, " for team team-", index, " hash ", keyHash(index)));
        }
        const unsigned services = std::max(1U, designServices * tenths / designSizeTenths);
        for (unsigned index = 0; index < services; ++index)
            commands.push_back(absl::StrCat("create service service-", index, " floor 60%"));
        for (unsigned index = 0; index < designUpstreams * tenths / designSizeTenths; ++index)
            commands.push_back(absl::StrCat("create upstream 10.", index / 60'000, ".", index / 250 % 250, ".", index % 250 + 1, ":8080 for service service-", index % services,
                " in lagos-", index % dataCentreCount));
        for (unsigned index = 0; index < designRoutes * tenths / designSizeTenths; ++index)
            commands.push_back(absl::StrCat("create route /route-", index, "/work to service-", index % services, " teams any repeatable"));
        for (unsigned index = 0; index < designHosts * tenths / designSizeTenths; ++index)
            commands.push_back(absl::StrCat("join host host-", index, " incarnation 1 at 10.9.", index / 250, ".", index % 250 + 1, ":8082 in lagos-", index % dataCentreCount));
        for (unsigned shard = 0; shard < shardCount; ++shard)
            commands.push_back(absl::StrCat("assign shards ", shard, " on host-", shard % std::max(1U, designHosts * tenths / designSizeTenths), " incarnation 1 unused"));
        return commands;
    }

    configuration configurationFor(unsigned tenths)
    {
        return *configuration::fromSnapshot(1, configurationCommands(tenths));
    }

    std::size_t residentBytes()
    {
        std::ifstream statistics("/proc/self/statm");
        std::size_t total = 0;
        std::size_t resident = 0;
        statistics >> total >> resident;
        return resident * 4096;
    }

    unsigned sizeArgument(const benchmark::State& state)
    {
        return static_cast<unsigned>(state.range(0));
    }

    void loadConfiguration(benchmark::State& state)
    {
        const auto commands = configurationCommands(sizeArgument(state));
        std::size_t bytes = 0;
        for (const auto& command : commands)
            bytes += command.size() + 1;
        const std::size_t before = residentBytes();
        std::vector<configuration> configurations;
        for (auto _ : state)
            configurations.push_back(*configuration::fromSnapshot(1, commands));
        state.counters["snapshotBytes"] = static_cast<double>(bytes);
        state.counters["residentBytes"] = static_cast<double>(residentBytes() - before) / static_cast<double>(configurations.size());
    }

    void applyChange(benchmark::State& state)
    {
        configuration held = configurationFor(sizeArgument(state));
        unsigned number = 0;
        for (auto _ : state) {
            auto next = std::make_shared<configuration>(held);
            (void)next->apply(change { "c", held.version() + 1, "ops", 0, absl::StrCat("create team new-", number++, " rate 1/s burst 1") });
            benchmark::DoNotOptimize(next);
        }
    }

    void findKeyAndRoute(benchmark::State& state)
    {
        const configuration held = configurationFor(sizeArgument(state));
        const unsigned teams = designTeams * sizeArgument(state) / designSizeTenths;
        const unsigned routes = designRoutes * sizeArgument(state) / designSizeTenths;
        unsigned number = 0;
        for (auto _ : state) {
            benchmark::DoNotOptimize(held.findKey(keyHash(number % teams)));
            benchmark::DoNotOptimize(held.findRoute(absl::StrCat("/route-", number % routes, "/work/today")));
            ++number;
        }
    }

    // Measures the time that the traffic core needs for one request, from
    // admission to the sample of its attempt.
    void decideRequest(benchmark::State& state)
    {
        traffic_core traffic({}, "host-0", "lagos-0", 1);
        const instant start(std::chrono::hours(1));
        // At the design size one host uses about 200 upstreams, the largest argument.
        configuration held;
        config_version version = 0;
        const auto apply = [&](const std::string& command) { (void)held.apply(change { "c", ++version, "ops", 0, command }); };
        for (unsigned index = 0; index < 8; ++index)
            apply(absl::StrCat("create service service-", index));
        for (unsigned index = 0; index < sizeArgument(state); ++index)
            apply(absl::StrCat("create upstream 10.0.0.", index + 1, ":80 for service service-", index % 8, " in lagos-0 slots 64"));
        traffic.applyConfiguration(std::make_shared<configuration>(held), true, true, start);
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
        traffic.applyConfiguration(std::make_shared<configuration>(configurationFor(sizeArgument(state))), true, true, instant(std::chrono::hours(1)));
        instant now(std::chrono::hours(1));
        for (auto _ : state) {
            now += std::chrono::milliseconds(50);
            benchmark::DoNotOptimize(traffic.tick(now));
        }
    }

    // Encodes and decodes a message between relays with a version report of
    // every host.
    void roundTripVersionReports(benchmark::State& state)
    {
        const unsigned hosts = designHosts * sizeArgument(state) / designSizeTenths;
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

    void encodeHealthReport(benchmark::State& state)
    {
        peer_message message;
        message.sender = "host-0";
        health_report report { "host-1", 1'796'000'000'000, "lagos-0", 1'000'000, {} };
        for (unsigned index = 0; index < sizeArgument(state); ++index)
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

    void encodeShareReports(benchmark::State& state)
    {
        peer_message message;
        message.sender = "host-0";
        for (unsigned index = 0; index < sizeArgument(state); ++index)
            message.shareReports.push_back(share_report { absl::StrCat("team-", index), 1000, 100'000 + index, 1.5, 2.5, 0, 0.5, 1, 1, 100'000 });
        std::size_t bytes = 0;
        for (auto _ : state) {
            const std::string text = toWire(message).SerializeAsString();
            benchmark::DoNotOptimize(text);
            bytes = text.size();
        }
        state.counters["messageBytes"] = static_cast<double>(bytes);
    }

    // Measures how long a home takes to handle one share report, and the memory
    // that the state of its teams uses.
    void handleShareReport(benchmark::State& state)
    {
        const configuration held = configurationFor(sizeArgument(state));
        allowance_home home({}, std::chrono::seconds(4));
        const instant start(std::chrono::hours(1));
        const std::size_t before = residentBytes();
        home.applyConfiguration(held, "host-0", 1, start);
        const std::size_t after = residentBytes();
        std::vector<std::string> homeTeams;
        for (const auto& [name, row] : held.teams()) {
            if (held.shardHomes().at(shardOf(name)).host == "host-0")
                homeTeams.push_back(name);
        }
        instant now = start;
        std::uint64_t sequence = 1;
        for (auto _ : state) {
            now += std::chrono::milliseconds(1);
            const share_report report { homeTeams[sequence % homeTeams.size()], 1, sequence, 0, 0, 0, 1, 1, 0, sequence };
            benchmark::DoNotOptimize(home.handleReport("host-1", 1, report, now));
            ++sequence;
        }
        state.counters["teams"] = static_cast<double>(homeTeams.size());
        state.counters["residentBytes"] = static_cast<double>(after - before);
    }

    BENCHMARK(loadConfiguration)->Arg(1)->Arg(5)->Arg(10)->Unit(benchmark::kMillisecond)->Iterations(3);
    BENCHMARK(applyChange)->Arg(1)->Arg(5)->Arg(10)->Unit(benchmark::kMillisecond);
    BENCHMARK(findKeyAndRoute)->Arg(1)->Arg(5)->Arg(10);
    BENCHMARK(decideRequest)->Arg(50)->Arg(100)->Arg(200);
    BENCHMARK(tickHealth)->Arg(1)->Arg(5)->Arg(10)->Unit(benchmark::kMicrosecond);
    BENCHMARK(roundTripVersionReports)->Arg(1)->Arg(5)->Arg(10)->Unit(benchmark::kMicrosecond);
    BENCHMARK(encodeHealthReport)->Arg(1)->Arg(10)->Arg(100)->Unit(benchmark::kMicrosecond);
    BENCHMARK(encodeShareReports)->Arg(1)->Arg(10)->Arg(100)->Unit(benchmark::kMicrosecond);
    BENCHMARK(handleShareReport)->Arg(1)->Arg(5)->Arg(10);

} // namespace

} // namespace almondmoor

BENCHMARK_MAIN();
