// Bounds the memory that a host holds for the requests that it serves.
//
// Bodies wait in the host's memory for clients and upstreams that read slowly. While there
// is room, a response is forwarded only after its whole body has arrived. When room becomes
// short, less of each response is held and the rest is forwarded as fast as its reader
// takes it, so a slow reader delays its own response only. When room is nearly used up, the
// host refuses new requests, the least urgent first.
//
// Amounts may be changed and read by several threads. The class reads no clock.

#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace almondmoor {

class memory_budget {
public:
    // Bytes that may be held; zero means no limit.
    explicit memory_budget(std::uint64_t maxBytes = 0)
        : m_maxBytes(maxBytes)
    {
    }

    // Returns the budget of a process that may use the given memory, or no limit for zero.
    static std::uint64_t maxBytesFor(std::uint64_t processMemoryBytes);

    // Returns how many bytes of one body may be held before it must be forwarded. At most
    // the usual number, and never less than minBodyBytes.
    std::size_t bodyLimit(std::size_t usualBytes) const;

    // Returns whether another request may be served. The urgency is 1 for the most urgent
    // requests that the configuration knows and 0 for the least urgent ones.
    bool admits(double urgency) const;

    // Returns the fraction of the budget that is held; may exceed 1. Zero without a limit.
    double usedFraction() const;

    std::uint64_t heldBytes() const { return m_heldBytes; }
    std::uint64_t maxBytes() const { return m_maxBytes; }

    // Smallest part of a body that is held.
    static constexpr std::size_t minBodyBytes = std::size_t { 16 } * 1024;
    // What a request uses beside its bodies: its stack, its heads and the buffers of its
    // two connections.
    static constexpr std::size_t bytesPerRequest = std::size_t { 32 } * 1024;

private:
    friend class held_memory;

    std::uint64_t m_maxBytes;
    std::atomic<std::uint64_t> m_heldBytes { 0 };
};

// The memory that one request holds. Returns it to the budget when destroyed.
class held_memory {
public:
    explicit held_memory(memory_budget& budget)
        : m_budget(budget)
    {
    }
    ~held_memory() { set(0); }

    held_memory(const held_memory&) = delete;
    held_memory& operator=(const held_memory&) = delete;

    // Sets the number of bytes that the request holds from now on.
    void set(std::uint64_t bytes)
    {
        // Unsigned arithmetic is modular, so a negative difference is subtracted.
        m_budget.m_heldBytes += bytes - m_bytes;
        m_bytes = bytes;
    }
    void add(std::uint64_t bytes) { set(m_bytes + bytes); }

private:
    memory_budget& m_budget;
    std::uint64_t m_bytes = 0;
};

} // namespace almondmoor
