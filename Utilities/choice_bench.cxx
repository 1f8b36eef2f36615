// The program 'choice_bench' compares policies for choosing upstreams and for reporting
// between hosts. It simulates each policy under several patterns of load and failures
// and prints the results over all seeds as a Markdown table or, with --csv, for plotting.
//
//   choice_bench [--csv] [SEEDS]

#include "service_model.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <array>
#include <cstdlib>
#include <future>
#include <iostream>
#include <string_view>

namespace almondmoor {

namespace {

    using namespace std::chrono_literals;

    model_pattern smallFleet(std::string name, double loadFactor)
    {
        model_pattern pattern;
        pattern.name = std::move(name);
        pattern.kinds = { { true, 48, 160ms, 600ms, 1500ms }, { false, 101, 210ms, 600ms, 1500ms } };
        pattern.loadFactor = loadFactor;
        return pattern;
    }

    // The number of hosts and upstreams to which the users plan to grow.
    model_pattern grownFleet(std::string name, double loadFactor)
    {
        model_pattern pattern = smallFleet(std::move(name), loadFactor);
        pattern.hostsPerDataCentre = 18;
        pattern.upstreamsPerDataCentre = 42;
        pattern.kinds = { { true, 306, 230ms, 1000ms, 2000ms }, { false, 644, 300ms, 1000ms, 2500ms } };
        pattern.runTime = 15s;
        return pattern;
    }

    std::vector<model_pattern> patterns()
    {
        std::vector<model_pattern> all { smallFleet("calm", 0.7), smallFleet("usual", 1), smallFleet("burst", 1.7) };
        all.push_back(smallFleet("turns away", 1.2));
        all.back().shedFraction = 0.4;
        all.push_back(smallFleet("some slow", 1));
        all.back().slowFraction = 0.16;
        all.push_back(grownFleet("grown usual", 1));
        all.push_back(grownFleet("grown burst", 1.4));
        all.push_back(grownFleet("grown turns away", 1.2));
        all.back().shedFraction = 0.4;
        return all;
    }

    std::vector<model_policy> policies()
    {
        std::vector<model_policy> all;
        all.push_back({ "own sight only", {}, {}, false });
        all.push_back({ "as shipped", {}, {} });
        for (const double busyFraction : { 0.6, 10.0 }) {
            choice_settings choice;
            choice.busyFraction = busyFraction;
            all.push_back({ absl::StrFormat("told at once from %.1f of the slots", busyFraction), choice, {} });
        }
        for (const auto interval : { 60ms, 400ms }) {
            pacing_settings pacing;
            pacing.lowInterval = interval;
            all.push_back({ absl::StrFormat("news within %d ms", interval.count()), {}, pacing });
        }
        for (const double preference : { 0.0, 1.0 }) {
            choice_settings choice;
            choice.preferenceCost = preference;
            all.push_back({ absl::StrFormat("preference %.1f", preference), choice, {} });
        }
        return all;
    }

    model_result sumOverSeeds(const model_pattern& pattern, const model_policy& policy, unsigned seeds)
    {
        std::vector<std::future<model_result>> runs;
        for (unsigned seed = 1; seed <= seeds; ++seed)
            runs.push_back(std::async(std::launch::async, [&, seed] { return service_model(pattern, policy, seed).run(); }));
        model_result sum;
        for (auto& run : runs) {
            const model_result result = run.get();
            sum.requests += result.requests;
            sum.withinTarget += result.withinTarget;
            sum.late += result.late;
            sum.failed += result.failed;
            sum.refused += result.refused;
            sum.retried += result.retried;
            sum.sentToSameRegion += result.sentToSameRegion;
            sum.sentToOtherRegion += result.sentToOtherRegion;
            sum.reportsReceived += result.reportsReceived;
            sum.hostSeconds += result.hostSeconds;
        }
        return sum;
    }

    void printRow(const model_pattern& pattern, const model_policy& policy, const model_result& total, bool isCsv)
    {
        const auto percent = [&total](std::uint64_t count) { return 100.0 * static_cast<double>(count) / static_cast<double>(total.requests); };
        const std::array<double, 8> figures { percent(total.withinTarget), percent(total.late), percent(total.failed), percent(total.refused), percent(total.retried), percent(total.sentToSameRegion), percent(total.sentToOtherRegion),
            static_cast<double>(total.reportsReceived) / total.hostSeconds };
        const auto appendFigure = [](std::string* out, double figure) { absl::StrAppendFormat(out, "%.2f", figure); };
        const char* separator = isCsv ? "," : " | ";
        const std::string line = absl::StrCat(pattern.name, separator, policy.name, separator, absl::StrJoin(figures, separator, appendFigure));
        std::cout << (isCsv ? line : absl::StrCat("| ", line, " |")) << "\n";
    }

} // namespace

} // namespace almondmoor

int main(int argumentCount, char** arguments)
{
    using namespace almondmoor;
    unsigned seeds = 4;
    bool isCsv = false;
    for (int index = 1; index < argumentCount; ++index) {
        if (std::string_view(arguments[index]) == "--csv")
            isCsv = true;
        else
            seeds = static_cast<unsigned>(std::max(1, std::atoi(arguments[index])));
    }
    if (isCsv)
        std::cout << "pattern,policy,in_target,late,failed,refused,resent,near,far,reports_taken_per_host_s\n";
    else
        std::cout << "| pattern | policy | % in target | late | failed | refused | sent twice | near | far | reports taken by a host each s |\n|---|---|---|---|---|---|---|---|---|---|\n";
    for (const model_pattern& pattern : patterns()) {
        for (const model_policy& policy : policies())
            printRow(pattern, policy, sumOverSeeds(pattern, policy, seeds), isCsv);
    }
}
