#include "neighbour_link.h"

#include "byte_stream.h"
#include "logging.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/socket.h>

namespace almondmoor {

namespace {

    constexpr std::size_t largestDatagram = 65507;
    // Datagrams that are taken in before anything else is looked at.
    constexpr int mostAtOnce = 16;
    constexpr duration tickInterval = std::chrono::milliseconds(250);

} // namespace

neighbour_link::neighbour_link(proxy_runtime& runtime)
    : m_runtime(runtime)
    , m_random(runtime.seed())
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
        countNeighbours();
    }
    send();
}

void neighbour_link::announce(update_urgency urgency)
{
    const bool isDue = [&] {
        const std::lock_guard lock(m_pacingMutex);
        return m_pacing.recordUpdate(urgency, presentInstant());
    }();
    if (isDue)
        send();
}

void neighbour_link::run()
{
    instant tickedAt = distantPast;
    while (!m_isStopping) {
        if (m_socket.poll(Poco::Timespan(tickInterval.count()), Poco::Net::Socket::SELECT_READ))
            receive();
        const instant now = presentInstant();
        if (now - tickedAt >= tickInterval) {
            tickedAt = now;
            m_runtime.tick();
        }
        const bool isDue = [&] {
            const std::lock_guard lock(m_pacingMutex);
            return now >= m_pacing.dueAt();
        }();
        if (isDue)
            send();
    }
}

void neighbour_link::receive()
{
    m_received.resize(largestDatagram);
    for (int count = 0; count < mostAtOnce; ++count) {
        const auto size = ::recv(m_socket.impl()->sockfd(), m_received.data(), m_received.size(), MSG_DONTWAIT);
        if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            return;
        if (size < 0) {
            // An earlier datagram found no receiver; that host is gone or not up yet.
            m_runtime.counters().add(event::PeerFailures);
            continue;
        }
        take(std::string_view(m_received.data(), static_cast<std::size_t>(size)));
    }
}

void neighbour_link::setReadingHandlers(reading_handlers handlers)
{
    const std::lock_guard lock(m_mutex);
    m_readings = std::move(handlers);
}

void neighbour_link::passOn(const table_reading& reading)
{
    const std::string bytes = encodeReading(reading);
    if (bytes.size() > largestDatagram)
        return;
    const std::lock_guard lock(m_mutex);
    sendToNeighbours(bytes);
}

void neighbour_link::take(std::string_view bytes)
{
    const instant now = presentInstant();
    const auto datagram = decodeDatagram(bytes, now);
    if (!datagram) {
        m_runtime.counters().add(event::PeerFailures);
        return;
    }
    if (const auto* report = std::get_if<neighbour_report>(&*datagram)) {
        takeReport(*report, now);
        return;
    }
    m_runtime.counters().add(event::NeighbourReadingsReceived);
    const auto taken = [this] {
        const std::lock_guard lock(m_mutex);
        return m_readings.taken;
    }();
    if (taken)
        taken(std::get<table_reading>(*datagram));
}

void neighbour_link::takeReport(const neighbour_report& report, instant now)
{
    m_runtime.counters().add(event::NeighbourReportsReceived);
    if (report.dataCentre != m_runtime.settings().dataCentre) {
        const dispatch_core::peer_report notice { report.samples, report.quarantined, report.idleUpstreams };
        m_runtime.withCore([&](dispatch_core& it) { it.recordPeerReport(notice, now); });
        announce(update_urgency::High);
        return;
    }
    m_runtime.withCore([&](dispatch_core& it) { it.recordReport(report, now); });
    const auto heard = [&] {
        const std::lock_guard lock(m_mutex);
        if (m_hosts.insert_or_assign(report.host, roster_entry { report.address, report.dataCentre }).second)
            countNeighbours();
        return m_readings.heard;
    }();
    if (heard)
        heard(report.host, report.confirmation);
}

neighbour_report neighbour_link::signedReport()
{
    const auto& settings = m_runtime.settings();
    neighbour_report report;
    report.host = settings.hostName;
    report.dataCentre = settings.dataCentre;
    report.address = settings.peerAddress;
    report.incarnation = m_runtime.incarnation();
    return report;
}

void neighbour_link::send()
{
    const instant now = presentInstant();
    {
        const std::lock_guard lock(m_pacingMutex);
        m_pacing.recordSent(now);
    }
    const std::lock_guard lock(m_mutex);
    dispatch_core::peer_report notice;
    neighbour_report state = m_runtime.withCore([&](dispatch_core& it) {
        notice = it.takePeerReport();
        return it.takeReport(now);
    });
    neighbour_report report = signedReport();
    report.sequence = ++m_sequence;
    report.inFlight = std::move(state.inFlight);
    report.attemptedUpstreams = std::move(state.attemptedUpstreams);
    report.idleUpstreams = std::move(state.idleUpstreams);
    report.admitted = std::move(state.admitted);
    report.samples = std::move(state.samples);
    report.quarantined = std::move(state.quarantined);
    report.quarantined.insert(report.quarantined.end(), notice.quarantined.begin(), notice.quarantined.end());
    if (m_readings.confirmation)
        report.confirmation = m_readings.confirmation();
    sendToNeighbours(encodeReport(report, now));
    if (!notice.isEmpty())
        sendNotice(notice);
}

void neighbour_link::countNeighbours()
{
    const auto isNear = [this](const auto& it) { return it.second.dataCentre == m_runtime.settings().dataCentre; };
    const auto near = std::count_if(m_hosts.begin(), m_hosts.end(), isNear);
    const std::lock_guard lock(m_pacingMutex);
    m_pacing.setNeighbours(static_cast<unsigned>(near));
}

void neighbour_link::sendToNeighbours(const std::string& bytes)
{
    const auto& settings = m_runtime.settings();
    for (const auto& [name, entry] : m_hosts) {
        if (entry.dataCentre == settings.dataCentre && name != settings.hostName)
            sendTo(entry, bytes);
    }
}

void neighbour_link::sendNotice(const dispatch_core::peer_report& notice)
{
    for (const std::uint64_t fingerprint : notice.quarantined)
        logInfo(absl::StrCat("event=quarantine fingerprint=", absl::Hex(fingerprint)));
    for (const neighbour_sample& sample : notice.failures)
        logInfo(absl::StrCat("event=upstream-failing upstream=", sample.upstream, " result=", std::string(nameIn(attemptResultNames, sample.result))));
    neighbour_report report = signedReport();
    report.samples = notice.failures;
    report.quarantined = notice.quarantined;
    const std::string forAll = report.samples.empty() && report.quarantined.empty() ? "" : encodeReport(report, presentInstant());
    report.idleUpstreams = notice.idleUpstreams;
    const std::string forNearest = encodeReport(report, presentInstant());
    std::map<std::string, std::vector<const roster_entry*>> byDataCentre;
    for (const auto& [name, entry] : m_hosts) {
        if (entry.dataCentre != m_runtime.settings().dataCentre)
            byDataCentre[entry.dataCentre].push_back(&entry);
    }
    const auto isInRegion = [this](const auto& it) { return isSameRegion(m_runtime.settings().regions, it.first, m_runtime.settings().dataCentre); };
    const bool hasNearer = std::any_of(byDataCentre.begin(), byDataCentre.end(), isInRegion);
    for (const auto& it : byDataCentre) {
        const std::string& bytes = !hasNearer || isInRegion(it) ? forNearest : forAll;
        const auto& hosts = it.second;
        if (bytes.empty())
            continue;
        std::uniform_int_distribution<std::size_t> draw(0, hosts.size() - 1);
        sendTo(*hosts[draw(m_random)], bytes);
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
