// Tables that tie the values of an enumeration to the names used in commands,
// replies, logs and counters.

#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace almondmoor {

// A table of names for an enumeration. Every enumerator has exactly one row.
template <typename Enum, std::size_t Size>
using name_table = std::array<std::pair<Enum, std::string_view>, Size>;

// Returns the name of a value, or "invalid" if the table has no row for it.
template <typename Enum, std::size_t Size>
constexpr std::string_view nameIn(const name_table<Enum, Size>& table, Enum value)
{
    for (const auto& [candidate, name] : table) {
        if (candidate == value)
            return name;
    }
    return "invalid";
}

// Returns the value that has a name, if there is one.
template <typename Enum, std::size_t Size>
constexpr std::optional<Enum> valueIn(const name_table<Enum, Size>& table, std::string_view name)
{
    for (const auto& [candidate, candidateName] : table) {
        if (candidateName == name)
            return candidate;
    }
    return std::nullopt;
}

} // namespace almondmoor
