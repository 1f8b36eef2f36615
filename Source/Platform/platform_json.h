// JSON forms of the platform's requests and replies, used by the client and by
// the stand-in alike.

#pragma once

#include "Platform/platform_types.h"

#include <string>
#include <vector>

namespace almondmoor {

// Each parse function throws Poco::Exception on text of another shape.
std::string writeKeys(const std::vector<std::string>& keys);
std::vector<std::string> parseKeys(const std::string& text);

std::string writeRows(const std::vector<std::optional<table_row>>& rows);
std::vector<std::optional<table_row>> parseRows(const std::string& text);

std::string writeTransaction(const table_transaction&);
table_transaction parseTransaction(const std::string& text);

std::string writeHosts(const std::vector<listed_host>&);
std::vector<listed_host> parseHosts(const std::string& text);

} // namespace almondmoor
