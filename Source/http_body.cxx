#include "http_body.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace almondmoor {

namespace {

    constexpr std::size_t maxPieceBytes = std::size_t { 64 } * 1024;
    constexpr std::size_t maxChunkLineBytes = 256;
    constexpr std::size_t maxTrailerBytes = std::size_t { 8 } * 1024;
    constexpr std::size_t maxChunkSizeDigits = 12;

    absl::Status invalidBody(const std::string& detail)
    {
        return absl::InvalidArgumentError(detail);
    }

} // namespace

body_reader::body_reader(byte_stream& stream, body_framing framing, byte_stream* watched)
    : m_stream(stream)
    , m_watched(watched)
    , m_kind(framing.kind)
    , m_state(state::Data)
    , m_remainingBytes(framing.length)
{
    if (m_kind == body_kind::None)
        m_state = state::End;
    else if (m_kind == body_kind::Chunked)
        m_state = state::ChunkSize;
}

absl::StatusOr<std::string> body_reader::takeLine(std::size_t maxBytes, instant deadline)
{
    while (true) {
        const auto end = m_stream.buffered().find("\r\n");
        if (end != std::string_view::npos) {
            std::string line(m_stream.buffered().substr(0, end));
            m_stream.consume(end + 2);
            if (line.find_first_of("\r\n") != std::string::npos)
                return invalidBody("a chunk line holds a bare CR or LF");
            return line;
        }
        if (m_stream.buffered().size() > maxBytes)
            return invalidBody("a chunk line is too long");
        const auto status = m_stream.receive(deadline, m_watched);
        if (!status.ok())
            return status;
    }
}

absl::Status body_reader::readChunkSize(instant deadline)
{
    const auto line = takeLine(maxChunkLineBytes, deadline);
    if (!line.ok())
        return line.status();
    const std::string digits = line->substr(0, line->find(';'));
    const bool isValid = !digits.empty() && digits.size() <= maxChunkSizeDigits
        && std::all_of(digits.begin(), digits.end(), [](char it) { return absl::ascii_isxdigit(static_cast<unsigned char>(it)); });
    if (!isValid)
        return invalidBody("a chunk size is not a hexadecimal number");
    m_remainingBytes = std::stoull(digits, nullptr, 16);
    m_state = m_remainingBytes == 0 ? state::Trailers : state::Data;
    return absl::OkStatus();
}

absl::Status body_reader::readChunkEnd(instant deadline)
{
    const auto line = takeLine(1, deadline);
    if (!line.ok())
        return line.status();
    if (!line->empty())
        return invalidBody("a chunk is longer than its size says");
    m_state = state::ChunkSize;
    return absl::OkStatus();
}

absl::Status body_reader::readTrailers(instant deadline)
{
    while (true) {
        const auto line = takeLine(maxTrailerBytes, deadline);
        if (!line.ok())
            return line.status();
        m_trailerBytes += line->size();
        if (m_trailerBytes > maxTrailerBytes)
            return invalidBody("the trailers are too large");
        if (line->empty()) {
            m_state = state::End;
            return absl::OkStatus();
        }
    }
}

absl::StatusOr<std::string> body_reader::takeData(instant deadline)
{
    if (m_stream.buffered().empty()) {
        const auto status = m_stream.receive(deadline, m_watched);
        if (m_kind == body_kind::UntilClose && absl::IsOutOfRange(status)) {
            m_state = state::End;
            return std::string();
        }
        if (!status.ok())
            return status;
    }
    std::size_t count = std::min(m_stream.buffered().size(), maxPieceBytes);
    if (m_kind != body_kind::UntilClose)
        count = static_cast<std::size_t>(std::min<std::uint64_t>(count, m_remainingBytes));
    std::string piece(m_stream.buffered().substr(0, count));
    m_stream.consume(count);
    if (m_kind == body_kind::UntilClose)
        return piece;
    m_remainingBytes -= count;
    if (m_remainingBytes == 0)
        m_state = m_kind == body_kind::Chunked ? state::ChunkEnd : state::End;
    return piece;
}

absl::StatusOr<std::string> body_reader::next(instant deadline)
{
    while (m_state != state::End) {
        absl::Status status;
        switch (m_state) {
        case state::Data: {
            auto piece = takeData(deadline);
            if (!piece.ok() || !piece->empty())
                return piece;
            break;
        }
        case state::ChunkSize:
            status = readChunkSize(deadline);
            break;
        case state::ChunkEnd:
            status = readChunkEnd(deadline);
            break;
        case state::Trailers:
            status = readTrailers(deadline);
            break;
        case state::End:
            break;
        }
        if (!status.ok())
            return status;
    }
    return std::string();
}

std::string writeChunk(std::string_view piece)
{
    return absl::StrCat(absl::Hex(piece.size()), "\r\n", std::string(piece), "\r\n");
}

absl::Status bufferBody(body_reader& body, std::size_t maxBytes, instant deadline, std::string& buffer)
{
    while (!body.isAtEnd() && buffer.size() < maxBytes) {
        const auto piece = body.next(deadline);
        if (!piece.ok())
            return piece.status();
        buffer += *piece;
    }
    return absl::OkStatus();
}

absl::Status forwardBody(body_reader& body, byte_stream& to, bool isChunked, const forwarding_limits& limits, const std::function<void(std::size_t)>& pieceForwarded)
{
    const auto nextDeadline = [&limits] { return std::min(limits.deadline, presentInstant() + limits.pieceTimeout); };
    while (!body.isAtEnd()) {
        const auto piece = body.next(nextDeadline());
        if (!piece.ok())
            return piece.status();
        if (piece->empty())
            break;
        if (pieceForwarded)
            pieceForwarded(piece->size());
        auto status = to.send(isChunked ? writeChunk(*piece) : *piece, nextDeadline());
        if (!status.ok())
            return status;
    }
    return isChunked ? to.send(lastChunk, nextDeadline()) : absl::OkStatus();
}

} // namespace almondmoor
