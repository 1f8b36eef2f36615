// A table of text cells: the result of an operator's query.

#pragma once

#include "Core/command.h"

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace almondmoor {

struct text_table {
    std::vector<std::string> columns;
    // Each row has one cell per column.
    std::vector<std::vector<std::string>> rows;
};

// Filters and sorts a table and limits the number of its rows, as the query states. Two values that are both numbers
// compare as numbers, others as text. An unknown column is an error that lists the known ones.
absl::StatusOr<text_table> applyQuery(text_table, const show_query&);

// Formats a table as text: a heading, the rows in aligned columns, and a last line with the number of rows.
std::string formatTable(const text_table&);

} // namespace almondmoor
