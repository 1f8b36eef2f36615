// Log lines as key=value text on standard output.
//
// Lines are handed to a thread that writes them. If whoever reads them falls
// behind, lines are dropped rather than anything waiting; a line says how many.

#pragma once

#include <string>

namespace almondmoor {

// Starts logging at a level: error, warn, info or debug.
void startLogging(const std::string& level, const std::string& host);

// Writes what is still to be written, as far as it is taken soon.
void stopLogging();

// Writes one line; the text is "event=NAME key=value ...".
void logInfo(const std::string& text);
void logWarning(const std::string& text);
void logError(const std::string& text);

} // namespace almondmoor
