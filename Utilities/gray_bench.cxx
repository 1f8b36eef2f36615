// The program 'gray_bench': runs the gray failure scenarios with the project's router and the baseline routers and
// prints a table with minimum/median/maximum over seeds.
//
//   gray_bench [SEEDS]

#include "baseline_routers.h"
#include "gray_scenario.h"

#include <absl/strings/str_format.h>
#include <cstdlib>
#include <future>
#include <iostream>

namespace almondmoor {

namespace {

    scenario_settings settingsFor(fault_kind kind, std::uint64_t seed)
    {
        scenario_settings settings;
        settings.kind = kind;
        settings.seed = seed;
        return settings;
    }

    std::string formatMinMedianMax(std::vector<double> values)
    {
        std::sort(values.begin(), values.end());
        return absl::StrFormat("%.2f/%.2f/%.2f", values.front(), values[values.size() / 2], values.back());
    }

    template <typename Router, typename Make>
    void printRow(const char* name, fault_kind kind, unsigned seeds, Make make)
    {
        std::vector<std::future<scenario_result>> runs;
        for (unsigned seed = 1; seed <= seeds; ++seed)
            runs.push_back(std::async(std::launch::async, [=] { return gray_scenario<Router>(settingsFor(kind, seed), make).run(); }));
        std::vector<double> detection;
        std::vector<double> faulty;
        std::vector<double> p99;
        std::vector<double> capacity;
        std::vector<double> failedPercent;
        double falseEjections = 0;
        for (auto& run : runs) {
            const scenario_result result = run.get();
            detection.push_back(result.detectionSeconds);
            faulty.push_back(100 * result.faultyFraction);
            p99.push_back(result.p99Ms);
            capacity.push_back(result.minCapacity);
            failedPercent.push_back(100 * static_cast<double>(result.failed + result.unplaced) / static_cast<double>(result.requests));
            falseEjections += static_cast<double>(result.falseEjections);
        }
        std::cout << absl::StrFormat("| %-22s | %-20s | %-20s | %-18s | %-16s | %-20s | %6.0f | %-16s |\n", std::string(nameIn(faultKindNames, kind)), name, formatMinMedianMax(detection), formatMinMedianMax(faulty),
            formatMinMedianMax(failedPercent), formatMinMedianMax(p99), falseEjections, formatMinMedianMax(capacity));
    }

} // namespace

} // namespace almondmoor

int main(int argumentCount, char** arguments)
{
    using namespace almondmoor;
    const unsigned seeds = argumentCount > 1 ? static_cast<unsigned>(std::max(1, std::atoi(arguments[1]))) : 20;
    std::cout << "| scenario | router | detection s | % of work to faulty | % failed | p99 ms | false ejections | least capacity |\n|---|---|---|---|---|---|---|---|\n";
    for (const auto& [kind, name] : faultKindNames) {
        printRow<gray_router>("almondmoor", kind, seeds, [](unsigned, const std::string& dataCentre) { return gray_router({ .preferNear = false }, {}, dataCentre); });
        printRow<round_robin_router>("round robin", kind, seeds, [](unsigned, const std::string&) { return round_robin_router(); });
        printRow<consecutive_failure_router>("consecutive failures", kind, seeds, [](unsigned, const std::string&) { return consecutive_failure_router(); });
        printRow<two_choices_router>("two choices", kind, seeds, [](unsigned, const std::string&) { return two_choices_router(); });
    }
}
