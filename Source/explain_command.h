// The command 'explain': the story of one request from the log lines of hosts.

#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace almondmoor {

// Tells what hosts decided about a request and what they had learned shortly
// before about the upstreams that it met. Lines may come from several hosts and
// may have anything before "time=". Returns false if no line names the request.
bool explainRequest(const std::string& id, const std::vector<std::string>& lines, std::ostream& out);

// Reads files, or standard input if none is named. Returns the exit status.
int runExplain(int argumentCount, char** arguments);

} // namespace almondmoor
