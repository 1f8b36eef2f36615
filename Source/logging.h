// Log lines for changes of state, as key=value text on standard error.

#pragma once

#include <string>

namespace almondmoor {

// Starts logging at a level: error, warn, info or debug.
void startLogging(const std::string& level, const std::string& host);

// Writes one line; the text is "event=NAME key=value ...".
void logInfo(const std::string& text);
void logWarning(const std::string& text);
void logError(const std::string& text);

} // namespace almondmoor
