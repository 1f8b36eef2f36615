#include "explain_command.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <set>

namespace almondmoor {

namespace {

    constexpr int usageStatus = 2;
    constexpr int notFoundStatus = 1;
    // Maximum number of context lines that are shown for a request; the latest ones are kept.
    constexpr std::size_t maxContextLines = 5;

    // The fields of one log line.
    struct log_line {
        std::string time;
        std::string host;
        std::map<std::string, std::string> fields;

        std::string field(const std::string& name) const
        {
            const auto found = fields.find(name);
            return found == fields.end() ? std::string() : found->second;
        }
    };

    // Parses fields of the forms name=value and name="value with spaces". Returns no fields if the text has no "time=".
    log_line parseLine(std::string text)
    {
        log_line line;
        const auto start = text.find("time=");
        if (start == std::string::npos)
            return line;
        text = text.substr(start);
        while (!text.empty()) {
            const auto equals = text.find('=');
            if (equals == std::string::npos)
                break;
            const std::string name = text.substr(0, equals);
            const bool isQuoted = text.size() > equals + 1 && text[equals + 1] == '"';
            const std::size_t valueStart = equals + (isQuoted ? 2 : 1);
            const auto end = text.find(isQuoted ? '"' : ' ', valueStart);
            line.fields[name] = text.substr(valueStart, end == std::string::npos ? end : end - valueStart);
            if (end == std::string::npos)
                break;
            const auto next = text.find_first_not_of(" \"", end);
            text = next == std::string::npos ? std::string() : text.substr(next);
        }
        line.time = line.field("time");
        line.host = line.field("host");
        return line;
    }

    bool concernsUpstream(const log_line& line, const std::set<std::string>& upstreams)
    {
        return upstreams.count(line.field("upstream")) > 0;
    }

    void writeAttempts(const std::string& attempts, std::ostream& out, std::set<std::string>& upstreams)
    {
        unsigned number = 0;
        for (const absl::string_view attempt : absl::StrSplit(attempts, ',', absl::SkipEmpty())) {
            const std::vector<std::string> parts = absl::StrSplit(attempt, ':');
            upstreams.insert(parts[0]);
            out << "  attempt " << ++number << " at " << parts[0] << ":";
            for (std::size_t index = 1; index < parts.size(); ++index)
                out << " " << parts[index];
            out << "\n";
        }
    }

    void writeRequest(const log_line& line, std::ostream& out, std::set<std::string>& upstreams)
    {
        out << line.time << " " << line.host << ": status " << line.field("status");
        if (!line.field("reason").empty())
            out << " (" << line.field("reason") << ")";
        out << " after " << line.field("total_ms") << " ms, " << line.field("left_ms") << " ms before its limit\n";
        out << "  route " << line.field("route") << " of plan " << line.field("plan") << ", team " << line.field("team") << ", service " << line.field("service") << "\n";
        writeAttempts(line.field("attempts"), out, upstreams);
        if (!line.field("detail").empty())
            out << "  " << line.field("detail") << "\n";
    }

    void writeContext(const std::vector<log_line>& lines, const log_line& request, const std::set<std::string>& upstreams, std::ostream& out)
    {
        std::vector<const log_line*> context;
        for (const log_line& line : lines) {
            const bool isHostContext = line.host == request.host && (absl::StartsWith(line.field("event"), "store-") || line.field("event") == "plan" || line.field("event") == "stop");
            if (line.time <= request.time && (concernsUpstream(line, upstreams) || isHostContext))
                context.push_back(&line);
        }
        std::sort(context.begin(), context.end(), [](const log_line* left, const log_line* right) { return left->time < right->time; });
        const std::size_t skippedCount = context.size() > maxContextLines ? context.size() - maxContextLines : 0;
        if (!context.empty())
            out << "  known before:\n";
        for (std::size_t index = skippedCount; index < context.size(); ++index) {
            const log_line& line = *context[index];
            out << "    " << line.time << " " << line.host << " " << line.field("event");
            for (const auto& [name, value] : line.fields) {
                if (name != "time" && name != "host" && name != "event" && name != "level")
                    out << " " << name << "=" << value;
            }
            out << "\n";
        }
    }

} // namespace

bool explainRequest(const std::string& id, const std::vector<std::string>& logLines, std::ostream& out)
{
    std::vector<log_line> lines(logLines.size());
    std::transform(logLines.begin(), logLines.end(), lines.begin(), parseLine);
    std::vector<const log_line*> found;
    for (const log_line& line : lines) {
        if (line.field("event") == "request" && line.field("id") == id)
            found.push_back(&line);
    }
    std::sort(found.begin(), found.end(), [](const log_line* left, const log_line* right) { return left->time < right->time; });
    for (const log_line* line : found) {
        std::set<std::string> upstreams;
        writeRequest(*line, out, upstreams);
        writeContext(lines, *line, upstreams, out);
    }
    return !found.empty();
}

int runExplain(int argumentCount, char** arguments)
{
    if (argumentCount < 2) {
        std::cerr << "almondmoor: explain needs the id of a request; log lines come from files named after it or from standard input\n";
        return usageStatus;
    }
    std::vector<std::string> lines;
    const auto readAll = [&lines](std::istream& in) {
        for (std::string line; std::getline(in, line);)
            lines.push_back(std::move(line));
    };
    if (argumentCount == 2)
        readAll(std::cin);
    for (int index = 2; index < argumentCount; ++index) {
        std::ifstream in(arguments[index]);
        if (!in) {
            std::cerr << "almondmoor: explain: " << arguments[index] << ": cannot be read\n";
            return usageStatus;
        }
        readAll(in);
    }
    if (explainRequest(arguments[1], lines, std::cout))
        return 0;
    std::cerr << "almondmoor: explain: no line names the request '" << arguments[1] << "'; it ended at another host, has not ended, or its host died with it\n";
    return notFoundStatus;
}

} // namespace almondmoor
