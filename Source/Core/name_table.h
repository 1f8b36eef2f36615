// Tables that map enumerators to the names used in commands, replies, logs and metrics.

#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace almondmoor {

// Names of an enumeration. Every enumerator has exactly one row.
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

// Returns the value with the given name, if there is one.
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
