// Reading of message bodies in bounded memory, piece by piece.

#pragma once

#include "byte_stream.h"
#include "http_head.h"

#include <absl/status/statusor.h>
#include <string>

namespace almondmoor {

// Reads one body from a stream. Trailers are read and dropped.
class body_reader {
public:
    body_reader(byte_stream& stream, body_framing framing);

    // Returns the next piece, or an empty one at the body's end. A body that
    // ends early or is chunked wrongly is an error; it never looks complete.
    absl::StatusOr<std::string> next(instant deadline);

    bool isAtEnd() const { return m_state == state::End; }

private:
    enum class state {
        Data,
        ChunkSize,
        ChunkEnd,
        Trailers,
        End
    };

    absl::StatusOr<std::string> takeData(instant deadline);
    absl::StatusOr<std::string> takeLine(std::size_t longest, instant deadline);
    absl::Status readChunkSize(instant deadline);
    absl::Status readChunkEnd(instant deadline);
    absl::Status readTrailers(instant deadline);

    byte_stream& m_stream;
    body_kind m_kind;
    state m_state;
    // Bytes left of the body or of the present chunk.
    std::uint64_t m_left;
    std::size_t m_trailerBytes = 0;
};

// Returns a piece of a body as a chunk.
std::string writeChunk(std::string_view piece);

inline constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace almondmoor
