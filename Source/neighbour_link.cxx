#include "neighbour_link.h"

#include "byte_stream.h"
#include "logging.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <absl/strings/str_cat.h>
#include <array>

namespace almondmoor {

namespace {

    constexpr std::size_t largestDatagram = 65507;
    // Reports are not sent more often than this.
    constexpr duration leastInterval = std::chrono::milliseconds(4);
    // A report goes out at least this often.
    constexpr duration heartbeatInterval = std::chrono::milliseconds(500);
    constexpr duration tickInterval = std::chrono::milliseconds(250);

} // namespace

neighbour_link::neighbour_link(proxy_runtime& runtime)
    : m_runtime(runtime)
{
}

neighbour_link::~neighbour_link()
{
    stop();
}

void neighbour_link::start()
{
    m_socket.bind(Poco::Net::SocketAddress(m_runtime.settings().peerAddress), true);
    m_thread = std::thread([this] { run(); });
}

void neighbour_link::stop()
{
    m_isStopping = true;
    if (m_thread.joinable())
        m_thread.join();
}

void neighbour_link::adoptRoster(const host_roster& roster)
{
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& [name, entry] : roster)
            m_hosts[name] = entry;
    }
    send();
}

void neighbour_link::announce()
{
    if (presentInstant() - m_sentAt.load() >= leastInterval)
        send();
}

void neighbour_link::run()
{
    instant tickedAt = longAgo;
    while (!m_isStopping) {
        const bool isReadable = m_socket.poll(Poco::Timespan(tickInterval.count()), Poco::Net::Socket::SELECT_READ);
        if (isReadable)
            receive();
        const instant now = presentInstant();
        if (now - tickedAt >= tickInterval) {
            tickedAt = now;
            m_runtime.tick();
        }
        if (now - m_sentAt.load() >= heartbeatInterval)
            send();
    }
}

void neighbour_link::receive()
{
    std::string bytes(largestDatagram, '\0');
    try {
        const int count = m_socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
        bytes.resize(static_cast<std::size_t>(std::max(0, count)));
    } catch (const Poco::Exception&) {
        // An earlier datagram found no receiver; that host is gone or not up yet.
        m_runtime.counters().add(event::PeerFailures);
        return;
    }
    take(bytes);
}

void neighbour_link::take(const std::string& bytes)
{
    const auto report = decodeReport(bytes);
    if (!report) {
        m_runtime.counters().add(event::PeerFailures);
        return;
    }
    m_runtime.counters().add(event::NeighbourReportsTaken);
    const instant now = presentInstant();
    if (report->dataCentre != m_runtime.settings().dataCentre) {
        m_runtime.withCore([&](dispatch_core& it) {
            for (const std::uint64_t fingerprint : report->quarantined)
                it.noteQuarantined(fingerprint, now);
        });
        return;
    }
    m_runtime.withCore([&](dispatch_core& it) { it.noteReport(*report, now); });
    const std::lock_guard lock(m_mutex);
    m_hosts[report->host] = { report->address, report->dataCentre };
}

void neighbour_link::send()
{
    m_sentAt = presentInstant();
    const auto& settings = m_runtime.settings();
    const std::lock_guard lock(m_mutex);
    neighbour_report report = m_runtime.withCore([](dispatch_core& it) {
        neighbour_report taken = it.takeReport();
        taken.quarantined = it.takeQuarantined();
        return taken;
    });
    report.dataCentre = settings.dataCentre;
    report.address = settings.peerAddress;
    report.incarnation = m_runtime.incarnation();
    report.sequence = ++m_sequence;
    const std::string bytes = encodeReport(report);
    for (const std::uint64_t fingerprint : report.quarantined)
        logInfo(absl::StrCat("event=quarantine fingerprint=", absl::Hex(fingerprint)));
    for (const auto& [name, entry] : m_hosts) {
        const bool isNeighbour = entry.dataCentre == settings.dataCentre && name != settings.hostName;
        const bool isFar = entry.dataCentre != settings.dataCentre && !report.quarantined.empty();
        if (isNeighbour || isFar)
            sendTo(entry, bytes);
    }
}

void neighbour_link::sendTo(const roster_entry& entry, const std::string& bytes)
{
    try {
        m_socket.sendTo(bytes.data(), static_cast<int>(bytes.size()), Poco::Net::SocketAddress(entry.address));
        m_runtime.counters().add(event::NeighbourReportsSent);
        m_runtime.counters().add(event::NeighbourBytesSent, bytes.size());
    } catch (const Poco::Exception&) {
        m_runtime.counters().add(event::PeerFailures);
    }
}

} // namespace almondmoor
