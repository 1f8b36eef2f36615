// Conversion of the platform's requests and responses to JSON and back, for both the HTTP client and the stand-in
// platform.

#pragma once

#include "Platform/platform_types.h"

#include <string>
#include <vector>

namespace almondmoor {

// Each parse function throws Poco::Exception if the text is not what the matching serialize function writes.
std::string serializeKeys(const std::vector<std::string>& keys);
std::vector<std::string> parseKeys(const std::string& text);

std::string serializeRows(const std::vector<std::optional<table_row>>& rows);
std::vector<std::optional<table_row>> parseRows(const std::string& text);

std::string serializeTransaction(const table_transaction&);
table_transaction parseTransaction(const std::string& text);

std::string serializeHosts(const std::vector<listed_host>&);
std::vector<listed_host> parseHosts(const std::string& text);

} // namespace almondmoor
