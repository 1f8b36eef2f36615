// The program 'choice_bench': prints how policies of choosing upstreams and of
// reporting between hosts fare under patterns of load and failures, as means over
// seeds, in Markdown or, with --csv, for plotting.
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

    model_pattern smallFleet(std::string name, double load)
    {
        model_pattern it;
        it.name = std::move(name);
        it.kinds = { { true, 48, 160ms, 600ms, 1500ms }, { false, 101, 210ms, 600ms, 1500ms } };
        it.load = load;
        return it;
    }

    // As many hosts and upstreams as the users plan next.
    model_pattern grownFleet(std::string name, double load)
    {
        model_pattern it = smallFleet(std::move(name), load);
        it.hostsPerDataCentre = 18;
        it.upstreamsPerDataCentre = 42;
        it.kinds = { { true, 306, 230ms, 1000ms, 2000ms }, { false, 644, 300ms, 1000ms, 2500ms } };
        it.length = 15s;
        return it;
    }

    std::vector<model_pattern> patterns()
    {
        std::vector<model_pattern> all { smallFleet("calm", 0.7), smallFleet("usual", 1), smallFleet("burst", 1.7) };
        all.push_back(smallFleet("turns away", 1.2));
        all.back().shedPart = 0.4;
        all.push_back(smallFleet("some slow", 1));
        all.back().slowPart = 0.16;
        all.push_back(grownFleet("grown usual", 1));
        all.push_back(grownFleet("grown burst", 1.4));
        all.push_back(grownFleet("grown turns away", 1.2));
        all.back().shedPart = 0.4;
        return all;
    }

    std::vector<model_policy> policies()
    {
        std::vector<model_policy> all;
        all.push_back({ "own sight only", {}, {}, false });
        all.push_back({ "as shipped", {}, {} });
        for (const double busyPart : { 0.6, 10.0 }) {
            choice_settings choice;
            choice.busyPart = busyPart;
            all.push_back({ absl::StrFormat("told at once from %.1f of the slots", busyPart), choice, {} });
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

    model_result sumOf(const model_pattern& pattern, const model_policy& policy, unsigned seeds)
    {
        std::vector<std::future<model_result>> runs;
        for (unsigned seed = 1; seed <= seeds; ++seed)
            runs.push_back(std::async(std::launch::async, [&, seed] { return service_model(pattern, policy, seed).run(); }));
        model_result sum;
        for (auto& run : runs) {
            const model_result it = run.get();
            sum.requests += it.requests;
            sum.inTarget += it.inTarget;
            sum.late += it.late;
            sum.failed += it.failed;
            sum.refused += it.refused;
            sum.resent += it.resent;
            sum.sentNear += it.sentNear;
            sum.sentFar += it.sentFar;
            sum.reportsTaken += it.reportsTaken;
            sum.hostSeconds += it.hostSeconds;
        }
        return sum;
    }

    void printRow(const model_pattern& pattern, const model_policy& policy, const model_result& it, bool isCsv)
    {
        const auto percent = [&it](std::uint64_t count) { return 100.0 * static_cast<double>(count) / static_cast<double>(it.requests); };
        const std::array<double, 8> figures { percent(it.inTarget), percent(it.late), percent(it.failed), percent(it.refused), percent(it.resent), percent(it.sentNear), percent(it.sentFar),
            static_cast<double>(it.reportsTaken) / it.hostSeconds };
        const auto append = [](std::string* out, double figure) { absl::StrAppendFormat(out, "%.2f", figure); };
        const char* gap = isCsv ? "," : " | ";
        const std::string line = absl::StrCat(pattern.name, gap, policy.name, gap, absl::StrJoin(figures, gap, append));
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
            printRow(pattern, policy, sumOf(pattern, policy, seeds), isCsv);
    }
}
