// Logging of key=value lines to standard output.
//
// Lines are queued for a thread that writes them. If the reader of the output is too slow and the queue is full, lines
// are dropped instead of blocking the callers; a later line reports the number of dropped lines.

#pragma once

#include <string>

namespace almondmoor {

// Starts logging. The level is one of error, warn, info or debug.
void startLogging(const std::string& level, const std::string& host);

// Stops logging. Writes the queued lines before that, if the reader of the output takes them soon.
void stopLogging();

// Each function writes one line. The text has the form "event=NAME key=value ...".
void logInfo(const std::string& text);
void logWarning(const std::string& text);
void logError(const std::string& text);

} // namespace almondmoor
