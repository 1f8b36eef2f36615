// Decides which hosts of a data centre read the platform's store for the others.
//
// One reader is enough: it reports to its neighbours when the store last responded
// and at which version each table last changed. A host reads while no neighbour
// that ranks before it has a fresh confirmation. The hosts neither elect a leader
// nor agree on the reader: two readers at the same time cost extra calls and do no
// harm, and a reader that stops reporting is replaced once its confirmation has
// expired and a short stagger has passed.
//
// The class takes no lock and reads no clock.

#pragma once

#include "Core/core_time.h"
#include "Core/name_table.h"
#include "Core/store_position.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace almondmoor {

// Tables of the store that every host follows.
enum class followed_table {
    ServingConfig,
    Upstreams,
    Membership
};

inline constexpr name_table<followed_table, 3> followedTableNames { {
    { followed_table::ServingConfig, "plan" },
    { followed_table::Upstreams, "upstreams" },
    { followed_table::Membership, "roster" },
} };

// Positions in the store, indexed by followed_table.
using table_positions = std::array<store_position, followedTableNames.size()>;

// What a reader reports about the store.
struct store_confirmation {
    // When the store last responded to the reader.
    instant respondedAt = distantPast;
    // Where in the store each table last changed.
    table_positions lastChanges {};
};

struct reader_settings {
    // Age at which a confirmation expires. It must exceed confirmationInterval.
    duration confirmationTtl = std::chrono::milliseconds(1500);
    // Time between two responses of the store to the reader of a data centre.
    duration confirmationInterval = std::chrono::milliseconds(1000);
    // When a reader stops reporting, hosts take over one after the other at this
    // interval. The total delay is at most maxStagger.
    duration stagger = std::chrono::milliseconds(50);
    duration maxStagger = std::chrono::milliseconds(250);
    // A neighbour that sent no report for this long counts as unreachable, and no
    // host waits for it to take over.
    duration neighbourTimeout = std::chrono::milliseconds(1500);
    // How much later than this host's first read a neighbour's first confirmation may be if they start together: the
    // neighbour may start half a second later, and its calls take time. Before its first confirmation a neighbour that
    // ranks before this host is waited for that long.
    duration startSpread = std::chrono::milliseconds(750);
};

class reader_choice {
public:
    reader_choice(reader_settings settings, std::string host)
        : m_settings(settings)
        , m_host(std::move(host))
    {
    }

    // Sets whether this host competes for reading. A host that is about to stop does
    // not: it reads only if no other host does.
    void setCandidate(bool isCandidate) { m_isCandidate = isCandidate; }

    // Sets from when this host may read before it has heard of any reader. Hosts that
    // start together first hear of each other, and then one of them reads for all.
    void setFirstReadAt(instant at) { m_firstReadAt = at; }

    // Records that a neighbour sent a report, and its confirmation if it reads.
    void recordNeighbour(const std::string& host, const std::optional<store_confirmation>&, instant now);

    // Records that the store responded to this host, which knows all tables as of that response.
    void recordOwnConfirmation(instant respondedAt);

    // Records that a read by this host failed. What it confirmed before stays true.
    void recordOwnFailure() { m_mayWait = false; }

    // Returns when the store last responded to this host, or nullopt if that confirmation has
    // expired.
    std::optional<instant> ownConfirmation(instant now) const;

    // Returns by how much the store may delay its response to the next call of this host,
    // which begins the given pause after the previous one. Only a change of the table that is
    // read ends the delay, so a host may wait only if it knew all tables a moment ago. A host
    // that takes over, or whose last read failed, reads at once.
    duration allowedWait(duration pause, instant now) const;

    // Returns whether this host should read now.
    bool shouldRead(instant now) const;

    // Returns the instant from which shouldRead() may return true if no report of a
    // neighbour arrives before.
    instant nextReadAt(instant now) const;

    // A neighbour that reads, and its confirmation.
    struct reading_neighbour {
        std::string host;
        store_confirmation confirmation;
    };

    // Returns the neighbour with the latest confirmation, or nullopt if none is fresh.
    std::optional<reading_neighbour> latestReader(instant now) const;

    // Returns when the confirmation expires if it is not renewed.
    instant expiryOf(const store_confirmation& it) const { return it.respondedAt + m_settings.confirmationTtl; }

private:
    struct neighbour_row {
        instant lastReceivedAt = distantPast;
        std::optional<store_confirmation> confirmation;
    };

    bool isFresh(const neighbour_row&, instant now) const;
    // Returns whether a fresh confirmation of the neighbour keeps this host from
    // reading.
    bool takesPrecedence(const std::string& neighbour) const;
    // Returns how long this host waits for hosts that rank before it to take over.
    duration takeoverDelay(instant now) const;
    // Returns until when a neighbour's confirmation keeps this host from reading. The
    // instant may lie in the past.
    instant suppressedUntil() const;

    reader_settings m_settings;
    std::string m_host;
    bool m_isCandidate = true;
    instant m_ownConfirmedAt = distantPast;
    // False after a failed read until the next confirmation.
    bool m_mayWait = false;
    instant m_firstReadAt = distantPast;
    std::map<std::string, neighbour_row> m_neighbours;
};

} // namespace almondmoor
