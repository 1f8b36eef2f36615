// Reads and forwards message bodies piece by piece in bounded memory.

#pragma once

#include "byte_stream.h"
#include "http_head.h"

#include <absl/status/statusor.h>
#include <functional>
#include <string>

namespace almondmoor {

// Reads one body from a stream. Trailers are read and discarded.
class body_reader {
public:
    // If a watched stream is given, next() returns Cancelled as soon as its connection is closed by its other side during
    // a wait.
    body_reader(byte_stream& stream, body_framing framing, byte_stream* watched = nullptr);

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
    byte_stream* m_watched;
    body_kind m_kind;
    state m_state;
    // Remaining bytes of the body or, if the body is chunked, of the current chunk.
    std::uint64_t m_remainingBytes;
    std::size_t m_trailerBytes = 0;
};

// Returns a piece of a body encoded as a chunk. The piece must not be empty, since an empty chunk ends the body.
std::string writeChunk(std::string_view piece);

inline constexpr std::string_view lastChunk = "0\r\n\r\n";

// Reads a body up to its end, or until at least a number of bytes were read. Returns the error of the read that failed; what
// came before it is then in the buffer.
absl::Status bufferBody(body_reader&, std::size_t maxBytes, instant deadline, std::string& buffer);

// How long a body may take to be forwarded.
struct forwarding_limits {
    // For the whole body.
    instant deadline;
    // For each wait for a piece, and for sending it.
    duration pieceTimeout {};
};

// Sends the rest of a body to a stream, in chunks if isChunked. Calls a function, which may be empty, with the size of each
// piece. Returns the error of the read or the write that failed; the receiver can then tell that the body is not complete.
absl::Status forwardBody(body_reader&, byte_stream& to, bool isChunked, const forwarding_limits&, const std::function<void(std::size_t)>& pieceForwarded = {});

} // namespace almondmoor
