// Which hosts of a data centre read the platform's store for the others.
//
// One reader is enough: it tells its neighbours when the store last answered it
// and at which version each table last changed. A host reads while no neighbour
// that ranks before it has a fresh confirmation. No host is set aside and nothing
// is agreed: two readers at once cost calls and do no harm, and a reader that
// falls silent is replaced within the limit and a short stagger.
//
// The class has no lock and no clock.

#pragma once

#include "Core/core_time.h"
#include "Core/name_table.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace almondmoor {

// Tables of the store that every host follows.
enum class followed_table {
    Plan,
    Upstreams,
    Roster
};

inline constexpr name_table<followed_table, 3> followedTableNames { {
    { followed_table::Plan, "plan" },
    { followed_table::Upstreams, "upstreams" },
    { followed_table::Roster, "roster" },
} };

// What a reader says of the store.
struct store_confirmation {
    // When the store last answered the reader.
    instant at = distantPast;
    // Version of the store at which each table last changed, by followed_table.
    std::array<std::uint64_t, followedTableNames.size()> changedAt {};
};

struct reader_settings {
    // Age up to which a confirmation is relied on. It must exceed the time for
    // which readers let the store hold a call back.
    duration freshLimit = std::chrono::milliseconds(1500);
    // Hosts take over from a silent reader one after the other, in this distance.
    duration stagger = std::chrono::milliseconds(50);
    duration longestStagger = std::chrono::milliseconds(250);
    // A neighbour that was not heard for this long takes no turn.
    duration heardLimit = std::chrono::milliseconds(1500);
};

class reader_choice {
public:
    reader_choice(reader_settings settings, std::string host)
        : m_settings(settings)
        , m_host(std::move(host))
    {
    }

    // A host that is about to stop reads only if nobody else does.
    void setWilling(bool isWilling) { m_isWilling = isWilling; }

    // Takes in that a neighbour was heard, and its confirmation if it reads.
    void noteNeighbour(const std::string& host, const std::optional<store_confirmation>&, instant now);

    // Returns whether this host should read now.
    bool reads(instant now) const;

    // Returns when reads() may become true without another call.
    instant nextReadAt(instant now) const;

    // Returns the freshest confirmation of a neighbour, or nothing if none is fresh.
    std::optional<store_confirmation> confirmation(instant now) const;

private:
    struct row {
        instant heardAt = distantPast;
        std::optional<store_confirmation> confirmation;
    };

    bool isFresh(const row&, instant now) const;
    // Returns whether a neighbour's confirmation keeps this host from reading.
    bool isPreferred(const std::string& neighbour) const;
    // Returns how long this host leaves the turn to those that rank before it.
    duration turnDelay(instant now) const;
    // Returns until when a confirmation keeps, or kept, this host from reading.
    instant coveredUntil() const;

    reader_settings m_settings;
    std::string m_host;
    bool m_isWilling = true;
    std::map<std::string, row> m_rows;
};

} // namespace almondmoor
