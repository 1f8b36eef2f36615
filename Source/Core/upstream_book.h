// The directory of upstreams as rows of service discovery build it.
//
// Rows may be late, may come from an upstream's earlier start, and vanish while
// the store is away although the upstream lives. The book decides what the
// directory holds.

#pragma once

#include "Core/upstream_choice.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace almondmoor {

// What an upstream last said of itself.
struct upstream_statement {
    directory_entry entry;
    // Unix time in milliseconds of the upstream's start.
    std::int64_t startedAtUnixMs = 0;
};

struct book_settings {
    // After the store was away, a row that vanished is believed gone only after
    // this time, since upstreams write their rows anew.
    duration lapseGrace = std::chrono::milliseconds(2000);
};

class upstream_book {
public:
    explicit upstream_book(book_settings settings)
        : m_settings(settings)
    {
    }

    // Takes in a row. A statement of an earlier start than the known one is
    // dropped. Returns whether the directory changed.
    bool state(const upstream_statement&);

    // Takes in that rows are gone, all that one reading brought. If that is half of
    // the directory or more right after the store was away, they may have lapsed
    // with it, and the entries stay until their grace is over; fewer have left.
    // Returns whether the directory changed.
    bool removeAll(const std::vector<std::string>& ids, instant now);

    // Removes all entries but those named, after the table was read whole.
    bool keepOnly(const std::vector<std::string>& ids, instant now);

    // Notes that the store answers again after it was away.
    void noteStoreBack(instant now) { m_lapsesUntil = now + m_settings.lapseGrace; }

    // Removes entries whose grace is over. Returns whether the directory changed.
    bool expire(instant now);

    const upstream_directory& directory() const { return m_directory; }

private:
    bool mayHaveLapsed(std::size_t count, instant now) const;

    book_settings m_settings;
    upstream_directory m_directory;
    std::map<std::string, std::int64_t> m_startedAt;
    // Entries whose rows are gone, and until when they are still used.
    std::map<std::string, instant> m_lapsed;
    instant m_lapsesUntil = distantPast;
};

} // namespace almondmoor
