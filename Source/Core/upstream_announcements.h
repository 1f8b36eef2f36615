// What upstreams announce about themselves in their responses: that they are leaving, or for how long they want no
// request from this host.
//
// An announcement holds for one incarnation of an upstream, whatever service discovery says of it: its entry may be
// late, vanish and return. A new incarnation with the same id starts without announcements.
//
// The class takes no lock and reads no clock.

#pragma once

#include "Core/core_time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace almondmoor {

// One incarnation of an upstream.
struct upstream_incarnation {
    std::string id;
    std::int64_t startedAtUnixMs = 0;

    bool operator<(const upstream_incarnation& other) const { return std::tie(id, startedAtUnixMs) < std::tie(other.id, other.startedAtUnixMs); }
};

// The announcements in one response.
struct upstream_announcement {
    bool isLeaving = false;
    // Time for which the upstream wants no request from this host.
    std::optional<duration> pause;
};

class upstream_announcements {
public:
    // Records that an incarnation is leaving. Returns whether that is news.
    bool recordLeaving(const upstream_incarnation&, instant now);

    // Records that an incarnation wants no request from this host for a time.
    void recordPause(const upstream_incarnation&, duration pause, instant now);

    bool isLeaving(const upstream_incarnation&) const;

    // Returns until when an incarnation wants no request; the instant may lie in the past.
    instant pausedUntil(const upstream_incarnation&) const;

    // Returns whether an incarnation may get a request.
    bool acceptsRequests(const upstream_incarnation& it, instant now) const { return !isLeaving(it) && now >= pausedUntil(it); }

    // Forgets announcements that are too old to matter.
    void expire(instant now);

private:
    struct row {
        bool isLeaving = false;
        instant pausedUntil = distantPast;
        instant announcedAt = distantPast;
    };

    std::map<upstream_incarnation, row> m_rows;
};

// Longest pause that is honoured; longer ones are shortened to it.
inline constexpr duration maxUpstreamPause = std::chrono::minutes(1);

} // namespace almondmoor
