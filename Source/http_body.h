// Reads message bodies piece by piece in bounded memory.

#pragma once

#include "byte_stream.h"
#include "http_head.h"

#include <absl/status/statusor.h>
#include <string>

namespace almondmoor {

// Reads one body from a stream. Trailers are read and discarded.
class body_reader {
public:
    body_reader(byte_stream& stream, body_framing framing);

    // Returns the next piece, or an empty string at the end of the body. A body that ends early or has an invalid chunk
    // is an error, so a truncated body never appears complete.
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
    absl::StatusOr<std::string> takeLine(std::size_t maxBytes, instant deadline);
    absl::Status readChunkSize(instant deadline);
    absl::Status readChunkEnd(instant deadline);
    absl::Status readTrailers(instant deadline);

    byte_stream& m_stream;
    body_kind m_kind;
    state m_state;
    // Remaining bytes of the body or, if the body is chunked, of the current chunk.
    std::uint64_t m_remainingBytes;
    std::size_t m_trailerBytes = 0;
};

// Returns a piece of a body encoded as a chunk. The piece must not be empty, since an empty chunk ends the body.
std::string writeChunk(std::string_view piece);

inline constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace almondmoor
