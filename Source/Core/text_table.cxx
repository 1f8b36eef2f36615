// Filters, sorts and formats the tables that operators query.

#include "Core/text_table.h"

#include "Core/error.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>

namespace almondmoor {

namespace {

    // Returns a number below, equal to or above zero, as std::string::compare does.
    int compareValues(const std::string& left, const std::string& right)
    {
        double leftNumber = 0;
        double rightNumber = 0;
        if (absl::SimpleAtod(left, &leftNumber) && absl::SimpleAtod(right, &rightNumber))
            return leftNumber < rightNumber ? -1 : leftNumber > rightNumber ? 1
                                                                            : 0;
        return left.compare(right);
    }

    // Returns whether a result of compareValues() satisfies a comparison.
    bool matches(comparison relation, int comparisonResult)
    {
        switch (relation) {
        case comparison::Equal:
            return comparisonResult == 0;
        case comparison::NotEqual:
            return comparisonResult != 0;
        case comparison::Less:
            return comparisonResult < 0;
        case comparison::Greater:
            return comparisonResult > 0;
        }
        return false;
    }

    absl::StatusOr<std::size_t> findColumn(const text_table& table, const std::string& name)
    {
        const auto found = std::find(table.columns.begin(), table.columns.end(), name);
        if (found != table.columns.end())
            return static_cast<std::size_t>(found - table.columns.begin());
        return makeError(absl::StatusCode::kInvalidArgument, "query", "",
            absl::StrCat("no column '", name, "'; there are ", absl::StrJoin(table.columns, ", ")));
    }

} // namespace

absl::StatusOr<text_table> applyQuery(text_table table, const show_query& query)
{
    if (!query.whereColumn.empty()) {
        auto column = findColumn(table, query.whereColumn);
        if (!column.ok())
            return column.status();
        std::erase_if(table.rows, [&](const auto& row) { return !matches(query.whereComparison, compareValues(row[*column], query.whereValue)); });
    }
    if (!query.orderColumn.empty()) {
        auto column = findColumn(table, query.orderColumn);
        if (!column.ok())
            return column.status();
        // Rows are sorted in descending order, because operators look for the largest values.
        std::stable_sort(table.rows.begin(), table.rows.end(), [&](const auto& left, const auto& right) { return compareValues(left[*column], right[*column]) > 0; });
    }
    if (query.limit && table.rows.size() > *query.limit)
        table.rows.resize(*query.limit);
    return table;
}

std::string formatTable(const text_table& table)
{
    std::vector<std::size_t> widths;
    for (std::size_t column = 0; column < table.columns.size(); ++column) {
        std::size_t width = table.columns[column].size();
        for (const auto& row : table.rows)
            width = std::max(width, row[column].size());
        widths.push_back(width);
    }
    std::string out;
    const auto appendRow = [&](const std::vector<std::string>& cells) {
        for (std::size_t column = 0; column < cells.size(); ++column) {
            const bool isLast = column + 1 == cells.size();
            out += cells[column];
            out.append(isLast ? 0 : widths[column] - cells[column].size() + 2, ' ');
        }
        out += '\n';
    };
    appendRow(table.columns);
    for (const auto& row : table.rows)
        appendRow(row);
    absl::StrAppend(&out, "(", table.rows.size(), table.rows.size() == 1 ? " row)" : " rows)", "\n");
    return out;
}

} // namespace almondmoor
