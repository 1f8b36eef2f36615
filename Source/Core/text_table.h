// Rows of text that answer an operator's query.

#pragma once

#include "Core/command.h"

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace almondmoor {

struct text_table {
    std::vector<std::string> columns;
    std::vector<std::vector<std::string>> rows;
};

// Filters, orders and cuts a table. Values that are both numbers compare as
// numbers. An unknown column is an error that lists the known ones.
absl::StatusOr<text_table> applyQuery(text_table, const show_query&);

// Writes a table with aligned columns, a heading and a closing count.
std::string writeTable(const text_table&);

} // namespace almondmoor
