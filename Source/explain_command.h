// The command 'explain': reports how one request was handled, from the log lines of hosts.

#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace almondmoor {

// Writes what hosts decided about a request, and the log lines from shortly before the request about the upstreams that
// it was sent to and about the host's store, configuration and stop. The lines may come from several hosts; text before
// "time=" is ignored. Returns false if no line is about the request.
bool explainRequest(const std::string& id, const std::vector<std::string>& lines, std::ostream& out);

// Runs the command with a request id and names of log files; reads standard input if no file is named. Returns the exit
// status: 0, 1 if no line is about the request, or 2 for wrong usage and files that cannot be read.
int runExplain(int argumentCount, char** arguments);

} // namespace almondmoor
