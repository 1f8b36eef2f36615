// Draws a schedule of requests, sends them over several connections, and prints latencies and outcomes.

#include "load_command.h"

#include "Core/error.h"
#include "byte_stream.h"
#include "http_body.h"
#include "http_head.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <atomic>
#include <cmath>
#include <condition_variable>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

DEFINE_string(load_targets, "127.0.0.1:8080", "Addresses to send to, separated by commas.");
DEFINE_double(load_rate, 100, "Requests per second, all teams together.");
DEFINE_double(load_seconds, 10, "Time to send for.");
DEFINE_uint32(load_connections, 50, "Connections, each carrying one request at a time.");
DEFINE_string(load_keys, "", "SECRET or SECRET:WEIGHT for each team, separated by commas; none for open routes.");
DEFINE_string(load_path, "/", "Path to ask for.");
DEFINE_string(load_method, "GET", "Method of the requests.");
DEFINE_uint32(load_body_bytes, 0, "Size of each request's body.");
DEFINE_bool(load_unique_keys, false, "Send an Idempotency-Key of its own with each request.");
DEFINE_bool(load_json, false, "Report as JSON.");
DEFINE_uint64(load_seed, 1, "Seed of arrival times and of the choice of teams.");

namespace almondmoor {

namespace {

    constexpr int usageExitStatus = 2;
    constexpr duration requestTimeout = std::chrono::seconds(15);
    constexpr duration connectTimeout = std::chrono::seconds(2);

    struct scheduled_request {
        instant dueAt;
        // Index into the list of teams.
        std::size_t team = 0;
        std::uint64_t number = 0;
    };

    struct load_team {
        std::string secret;
        double weight = 1;
    };

    struct load_result {
        // Sorted once the run is over.
        std::vector<double> latenciesMs;
        std::map<std::string, std::uint64_t> outcomes;
        std::uint64_t sent = 0;
    };

    std::vector<load_team> parseTeams(const std::string& text)
    {
        std::vector<load_team> teams;
        for (const absl::string_view item : absl::StrSplit(text, ',', absl::SkipEmpty())) {
            const std::pair<std::string, std::string> secretAndWeight = absl::StrSplit(item, absl::MaxSplits(':', 1));
            load_team team { secretAndWeight.first, 1 };
            if (!secretAndWeight.second.empty())
                (void)absl::SimpleAtod(secretAndWeight.second, &team.weight);
            teams.push_back(team);
        }
        if (teams.empty())
            teams.emplace_back();
        return teams;
    }

    // Draws the arrival times of a Poisson process for the whole run in advance, so that a seed always gives the same
    // load.
    std::vector<scheduled_request> scheduleRequests(const std::vector<load_team>& teams, instant start)
    {
        std::mt19937_64 random(FLAGS_load_seed);
        std::exponential_distribution<double> interarrivalSeconds(FLAGS_load_rate);
        std::vector<double> weights;
        weights.reserve(teams.size());
        for (const auto& team : teams)
            weights.push_back(team.weight);
        std::discrete_distribution<std::size_t> teamIndex(weights.begin(), weights.end());
        std::vector<scheduled_request> schedule;
        for (double at = interarrivalSeconds(random); at < FLAGS_load_seconds; at += interarrivalSeconds(random))
            schedule.push_back(scheduled_request { start + fromSeconds(at), teamIndex(random), schedule.size() });
        return schedule;
    }

    // A connection that sends scheduled requests one after another and reconnects when necessary.
    class load_connection {
    public:
        explicit load_connection(std::string target)
            : m_target(std::move(target))
        {
        }

        // Sends one request and returns its outcome. The latency is measured from the instant at which the request was
        // due, so that it includes the time for which a stalled server delayed the sending.
        std::string send(const scheduled_request& request, const load_team& team, double& latencyMs)
        {
            const instant deadline = presentInstant() + requestTimeout;
            std::string result = exchange(request, team, deadline);
            latencyMs = toSeconds(presentInstant() - request.dueAt) * 1000;
            return result;
        }

    private:
        std::string exchange(const scheduled_request& request, const load_team& team, instant deadline)
        {
            if (m_stream && !m_stream->isIdleAndOpen())
                m_stream.reset();
            if (!m_stream) {
                Poco::Net::StreamSocket socket;
                if (!byte_stream::connect(m_target, presentInstant() + connectTimeout, socket).ok())
                    return "connect-failed";
                m_stream = std::make_unique<byte_stream>(socket);
            }
            std::string text = absl::StrCat(FLAGS_load_method, " ", FLAGS_load_path, " HTTP/1.1\r\nHost: load\r\n");
            if (!team.secret.empty())
                absl::StrAppend(&text, "Authorization: Bearer ", team.secret, "\r\n");
            if (FLAGS_load_unique_keys)
                absl::StrAppend(&text, "Idempotency-Key: load-", FLAGS_load_seed, "-", request.number, "\r\n");
            if (FLAGS_load_body_bytes > 0)
                absl::StrAppend(&text, "Content-Length: ", FLAGS_load_body_bytes, "\r\n");
            absl::StrAppend(&text, "\r\n", std::string(FLAGS_load_body_bytes, 'x'));
            if (!m_stream->send(text, deadline).ok())
                return closeWithOutcome("send-failed");
            while (!headLength(m_stream->buffered())) {
                if (!m_stream->receive(deadline).ok())
                    return closeWithOutcome("no-answer");
            }
            const std::size_t length = *headLength(m_stream->buffered());
            Poco::Net::HTTPResponse response;
            body_framing framing;
            const auto status = readResponseHead(m_stream->buffered().substr(0, length), FLAGS_load_method, response, framing);
            m_stream->consume(length);
            if (!status.ok())
                return closeWithOutcome("bad-answer");
            body_reader body(*m_stream, framing);
            while (!body.isAtEnd()) {
                if (!body.next(deadline).ok())
                    return closeWithOutcome("cut-answer");
            }
            if (toLower(response.get("Connection", "")) == "close")
                m_stream.reset();
            const std::string reason = response.get("Almondmoor-Reason", "");
            return absl::StrCat(response.getStatus(), reason.empty() ? "" : " ", reason);
        }

        // Closes the connection and returns the outcome.
        std::string closeWithOutcome(const std::string& outcome)
        {
            m_stream.reset();
            return outcome;
        }

        std::string m_target;
        std::unique_ptr<byte_stream> m_stream;
    };

    // Returns the value at a fraction of the way through the sorted values, from the lowest at 0 to the highest at 1.
    // Returns 0 if there are no values.
    double percentile(const std::vector<double>& sorted, double fraction)
    {
        if (sorted.empty())
            return 0;
        const auto index = static_cast<std::size_t>(std::lround(fraction * static_cast<double>(sorted.size() - 1)));
        return sorted[index];
    }

    load_result sendScheduled(const std::vector<scheduled_request>& schedule, const std::vector<load_team>& teams, const std::vector<std::string>& targets)
    {
        load_result total;
        std::mutex mutex;
        std::atomic<std::size_t> next { 0 };
        std::vector<std::thread> threads;
        for (unsigned index = 0; index < FLAGS_load_connections; ++index) {
            threads.emplace_back([&, target = targets[index % targets.size()]] {
                load_connection connection(target);
                load_result threadResult;
                while (true) {
                    const std::size_t number = next++;
                    if (number >= schedule.size())
                        break;
                    const auto wait = schedule[number].dueAt - presentInstant();
                    if (wait > duration::zero())
                        std::this_thread::sleep_for(wait);
                    double latencyMs = 0;
                    ++threadResult.outcomes[connection.send(schedule[number], teams[schedule[number].team], latencyMs)];
                    threadResult.latenciesMs.push_back(latencyMs);
                    ++threadResult.sent;
                }
                const std::lock_guard lock(mutex);
                total.sent += threadResult.sent;
                total.latenciesMs.insert(total.latenciesMs.end(), threadResult.latenciesMs.begin(), threadResult.latenciesMs.end());
                for (const auto& [outcome, count] : threadResult.outcomes)
                    total.outcomes[outcome] += count;
            });
        }
        for (auto& thread : threads)
            thread.join();
        std::sort(total.latenciesMs.begin(), total.latenciesMs.end());
        return total;
    }

    void printReport(const load_result& result, double seconds)
    {
        constexpr std::array<std::pair<const char*, double>, 5> percentiles { { { "p50", 0.5 }, { "p90", 0.9 }, { "p99", 0.99 }, { "p999", 0.999 }, { "max", 1.0 } } };
        if (FLAGS_load_json) {
            Poco::JSON::Object latencies;
            for (const auto& [name, fraction] : percentiles)
                latencies.set(name, percentile(result.latenciesMs, fraction));
            Poco::JSON::Object outcomes;
            for (const auto& [outcome, count] : result.outcomes)
                outcomes.set(outcome, count);
            Poco::JSON::Object object;
            object.set("sent", result.sent);
            object.set("seconds", seconds);
            object.set("latencyMs", latencies);
            object.set("outcomes", outcomes);
            object.stringify(std::cout);
            std::cout << "\n";
            return;
        }
        std::cout << absl::StrFormat("sent %d in %.1f s (%.1f/s)\n", result.sent, seconds, static_cast<double>(result.sent) / seconds);
        for (const auto& [name, fraction] : percentiles)
            std::cout << absl::StrFormat("%-5s %.3f ms\n", name, percentile(result.latenciesMs, fraction));
        for (const auto& [outcome, count] : result.outcomes)
            std::cout << absl::StrFormat("outcome \"%s\" %d\n", outcome, count);
    }

} // namespace

int runLoad(int argumentCount, char** arguments)
{
    gflags::ParseCommandLineNonHelpFlags(&argumentCount, &arguments, true);
    const std::vector<std::string> targets = absl::StrSplit(FLAGS_load_targets, ',', absl::SkipEmpty());
    if (targets.empty() || FLAGS_load_rate <= 0 || FLAGS_load_seconds <= 0 || FLAGS_load_connections == 0) {
        std::cerr << "almondmoor: --load_targets, --load_rate, --load_seconds and --load_connections must not be empty or 0\n";
        return usageExitStatus;
    }
    const auto teams = parseTeams(FLAGS_load_keys);
    const instant start = presentInstant();
    const auto schedule = scheduleRequests(teams, start);
    const load_result result = sendScheduled(schedule, teams, targets);
    printReport(result, toSeconds(presentInstant() - start));
    return 0;
}

} // namespace almondmoor
