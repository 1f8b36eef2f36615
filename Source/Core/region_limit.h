// The regions in which a request may be served.
//
// Operators may bind a route or a team to regions. Where both are bound, both bind: the
// request may be served only in regions that both allow.

#pragma once

#include <optional>
#include <set>
#include <string>

namespace almondmoor {

class region_limit {
public:
    // Allows all regions.
    region_limit() = default;

    // Allows only the given regions.
    explicit region_limit(std::set<std::string> regions)
        : m_regions(std::move(regions))
    {
    }

    // Returns whether a request may be served in a region. A limited request may not be
    // served in an unknown region, whose name is empty.
    bool allows(const std::string& region) const { return !m_regions || (!region.empty() && m_regions->count(region) > 0); }

    bool isLimited() const { return m_regions.has_value(); }

    // Returns the regions that are allowed, or nothing if all are.
    const std::optional<std::set<std::string>>& regions() const { return m_regions; }

    // Returns the limit that allows what both limits allow.
    region_limit combinedWith(const region_limit& other) const
    {
        if (!m_regions)
            return other;
        if (!other.m_regions)
            return *this;
        std::set<std::string> both;
        for (const std::string& region : *m_regions) {
            if (other.m_regions->count(region))
                both.insert(region);
        }
        return region_limit(std::move(both));
    }

    // Returns the limit that allows what either limit allows.
    region_limit widenedBy(const region_limit& other) const
    {
        if (!m_regions || !other.m_regions)
            return {};
        std::set<std::string> either = *m_regions;
        either.insert(other.m_regions->begin(), other.m_regions->end());
        return region_limit(std::move(either));
    }

    bool operator==(const region_limit&) const = default;

private:
    // Invariant: without a value, all regions are allowed.
    std::optional<std::set<std::string>> m_regions;
};

} // namespace almondmoor
