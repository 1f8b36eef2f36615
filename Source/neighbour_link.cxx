#include "neighbour_link.h"

#include "Core/rendezvous.h"
#include "byte_stream.h"
#include "logging.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <iterator>
#include <sys/socket.h>

namespace almondmoor {

namespace {

    // Maximum payload of a UDP datagram over IPv4.
    constexpr std::size_t maxDatagramBytes = 65507;
    // Bounds the time for which a burst of datagrams delays the thread's other work.
    constexpr int maxDatagramsPerReceive = 16;
    constexpr duration tickInterval = std::chrono::milliseconds(250);
    constexpr duration tokenRequestInterval = std::chrono::milliseconds(40);

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

void neighbour_link::applyMembership(const fleet_membership& membership)
{
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& [name, entry] : membership)
            m_hosts[name] = entry;
        updateNeighbourCount();
    }
    sendReport();
}

void neighbour_link::scheduleReport(update_urgency urgency)
{
    const bool isDue = [&] {
        const std::lock_guard lock(m_pacingMutex);
        return m_pacing.recordUpdate(urgency, presentInstant());
    }();
    if (isDue)
        sendReport();
}

void neighbour_link::run()
{
    instant tickedAt = distantPast;
    while (!m_isStopping) {
        if (m_socket.poll(Poco::Timespan(tickInterval.count()), Poco::Net::Socket::SELECT_READ))
            receive();
        const instant now = presentInstant();
        requestTokens(now);
        if (now - tickedAt >= tickInterval) {
            tickedAt = now;
            tick(now);
        }
        const bool isDue = [&] {
            const std::lock_guard lock(m_pacingMutex);
            return now >= m_pacing.dueAt();
        }();
        if (isDue)
            sendReport();
    }
}

void neighbour_link::tick(instant now)
{
    m_runtime.tick();
    const auto tickHandler = [this] {
        const std::lock_guard lock(m_mutex);
        return m_readingHandlers.tick;
    }();
    if (tickHandler)
        tickHandler(now);
}

void neighbour_link::receive()
{
    m_receiveBuffer.resize(maxDatagramBytes);
    for (int count = 0; count < maxDatagramsPerReceive; ++count) {
        const auto size = ::recv(m_socket.impl()->sockfd(), m_receiveBuffer.data(), m_receiveBuffer.size(), MSG_DONTWAIT);
        if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            return;
        if (size < 0) {
            // The network reports that an earlier datagram found no receiver: the host has
            // stopped or has not started yet.
            m_runtime.counters().add(event::PeerFailures);
            continue;
        }
        handleDatagram(std::string_view(m_receiveBuffer.data(), static_cast<std::size_t>(size)));
    }
}

void neighbour_link::setReadingHandlers(reading_handlers handlers)
{
    const std::lock_guard lock(m_mutex);
    m_readingHandlers = std::move(handlers);
}

void neighbour_link::relayReading(const table_reading& reading)
{
    const std::string bytes = encodeReading(reading);
    if (bytes.size() > maxDatagramBytes)
        return;
    const std::lock_guard lock(m_mutex);
    sendToNeighbours(bytes);
}

void neighbour_link::handleDatagram(std::string_view bytes)
{
    const instant now = presentInstant();
    const auto datagram = decodeDatagram(bytes, now);
    if (!datagram) {
        m_runtime.counters().add(event::PeerFailures);
        return;
    }
    if (const auto* report = std::get_if<neighbour_report>(&*datagram)) {
        handleReport(*report, now);
        return;
    }
    if (const auto* request = std::get_if<table_request>(&*datagram)) {
        handleRequest(*request);
        return;
    }
    if (const auto* tokenRequest = std::get_if<addressed_token_request>(&*datagram)) {
        handleTokenRequest(*tokenRequest, now);
        return;
    }
    if (const auto* grant = std::get_if<token_grant>(&*datagram)) {
        m_runtime.withCore([&](dispatch_core& it) { it.recordGrant(*grant, now); });
        scheduleReport(update_urgency::Raised);
        return;
    }
    m_runtime.counters().add(event::NeighbourReadingsReceived);
    const auto readingReceived = [this] {
        const std::lock_guard lock(m_mutex);
        return m_readingHandlers.readingReceived;
    }();
    if (readingReceived)
        readingReceived(std::get<table_reading>(*datagram));
}

void neighbour_link::handleReport(const neighbour_report& report, instant now)
{
    m_runtime.counters().add(event::NeighbourReportsReceived);
    if (report.dataCentre != m_runtime.settings().dataCentre) {
        const dispatch_core::peer_report peerReport { report.samples, report.quarantined, report.idleUpstreams, report.suspectedUpstreams };
        if (m_runtime.withCore([&](dispatch_core& it) { return it.recordPeerReport(peerReport, now); }))
            scheduleReport(update_urgency::High);
        return;
    }
    m_runtime.withCore([&](dispatch_core& it) { it.recordReport(report, now); });
    bool isNew = false;
    const auto reportReceived = [&] {
        const std::lock_guard lock(m_mutex);
        isNew = m_hosts.insert_or_assign(report.host, membership_entry { report.address, report.dataCentre }).second;
        if (isNew)
            updateNeighbourCount();
        return m_readingHandlers.reportReceived;
    }();
    // The new host has not heard of this one yet.
    if (isNew)
        scheduleReport(update_urgency::Low);
    if (reportReceived)
        reportReceived(report.host, report.confirmation);
}

void neighbour_link::handleRequest(const table_request& request)
{
    const auto fullTable = [this] {
        const std::lock_guard lock(m_mutex);
        return m_readingHandlers.fullTable;
    }();
    const auto update = fullTable ? fullTable(request.table, request.known) : std::nullopt;
    if (!update)
        return;
    const std::lock_guard lock(m_mutex);
    const auto sender = std::find_if(m_hosts.begin(), m_hosts.end(), [&](const auto& it) { return it.second.address == request.address; });
    if (sender == m_hosts.end())
        return;
    const std::string bytes = encodeReading({ request.table, *update, sender->second.dataCentre != m_runtime.settings().dataCentre });
    if (bytes.size() <= maxDatagramBytes)
        sendTo(sender->second, bytes);
}

void neighbour_link::handleTokenRequest(const addressed_token_request& request, instant now)
{
    const auto grant = m_runtime.withCore([&](dispatch_core& it) { return it.lendTokens(request.request, now); });
    if (!grant)
        return;
    if (grant->tokens > 0) {
        m_runtime.counters().add(event::TokenGrantsSent);
        // The neighbours must deduct the tokens before they use them.
        scheduleReport(update_urgency::High);
    }
    const std::lock_guard lock(m_mutex);
    const auto isSender = [&](const auto& it) { return it.second.address == request.address; };
    const auto sender = std::find_if(m_hosts.begin(), m_hosts.end(), isSender);
    if (sender != m_hosts.end())
        sendTo(sender->second, encodeGrant(*grant));
}

neighbour_link::remote_hosts neighbour_link::remoteHosts() const
{
    const auto& settings = m_runtime.settings();
    remote_hosts remote;
    for (const auto& [name, entry] : m_hosts) {
        if (entry.dataCentre == settings.dataCentre)
            continue;
        auto& group = isSameRegion(settings.regions, entry.dataCentre, settings.dataCentre) ? remote.ofRegion : remote.ofOtherRegions;
        group[entry.dataCentre].push_back(name);
    }
    return remote;
}

const membership_entry* neighbour_link::lenderOf(const token_request& request) const
{
    const auto [near, far] = remoteHosts();
    if (near.empty() && far.empty())
        return nullptr;
    // Two thirds of the requests go to the same region.
    const bool usesNear = !near.empty() && (far.empty() || request.number % 3 != 0);
    const auto& group = usesNear ? near : far;
    const std::uint64_t round = usesNear ? request.number : request.number / 3;
    const auto& hosts = std::next(group.begin(), static_cast<std::ptrdiff_t>(round % group.size()))->second;
    return &m_hosts.at(chooseLender(request, hosts));
}

void neighbour_link::requestTokens(instant now)
{
    if (now - m_tokensRequestedAt < tokenRequestInterval)
        return;
    m_tokensRequestedAt = now;
    const auto requests = m_runtime.withCore([&](dispatch_core& it) { return it.takeTokenRequests(now); });
    const std::lock_guard lock(m_mutex);
    for (const token_request& request : requests) {
        const membership_entry* lender = lenderOf(request);
        if (!lender)
            continue;
        m_runtime.counters().add(event::TokenRequestsSent);
        sendTo(*lender, encodeTokenRequest({ request, m_runtime.settings().peerAddress }));
    }
}

void neighbour_link::requestTable(const std::string& host, followed_table table)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_hosts.find(host);
    if (found != m_hosts.end())
        sendTo(found->second, encodeRequest({ table, m_runtime.settings().peerAddress, {} }));
}

const membership_entry* neighbour_link::chooseHost(table_source source)
{
    const auto& settings = m_runtime.settings();
    std::vector<std::string> hosts;
    if (source == table_source::Neighbour) {
        for (const auto& [name, entry] : m_hosts) {
            if (entry.dataCentre == settings.dataCentre && name != settings.hostName)
                hosts.push_back(name);
        }
    } else {
        // Half of the requests go to the same region. The store may respond to none of its hosts.
        const auto [near, far] = remoteHosts();
        const auto& group = far.empty() || (!near.empty() && m_random() % 2 == 0) ? near : far;
        if (!group.empty())
            hosts = std::next(group.begin(), static_cast<std::ptrdiff_t>(m_random() % group.size()))->second;
    }
    return hosts.empty() ? nullptr : &m_hosts.at(hosts[m_random() % hosts.size()]);
}

bool neighbour_link::requestTables(table_source source, const table_positions& known)
{
    const std::lock_guard lock(m_mutex);
    const membership_entry* host = chooseHost(source);
    if (!host)
        return false;
    m_runtime.counters().add(event::TableRequestsSent);
    logInfo(absl::StrCat("event=tables-requested from=", std::string(nameIn(tableSourceNames, source)), " host=", host->address, " data_centre=", host->dataCentre));
    for (const auto& [table, name] : followedTableNames)
        sendTo(*host, encodeRequest({ table, m_runtime.settings().peerAddress, known[static_cast<std::size_t>(table)] }));
    return true;
}

void neighbour_link::setSender(neighbour_report& report) const
{
    const auto& settings = m_runtime.settings();
    report.host = settings.hostName;
    report.dataCentre = settings.dataCentre;
    report.address = settings.peerAddress;
    report.incarnation = m_runtime.incarnation();
}

void neighbour_link::sendReport()
{
    const instant now = presentInstant();
    {
        const std::lock_guard lock(m_pacingMutex);
        m_pacing.recordSent(now);
    }
    const std::lock_guard lock(m_mutex);
    dispatch_core::peer_report peerReport;
    neighbour_report report = m_runtime.withCore([&](dispatch_core& it) {
        neighbour_report ownReport = it.takeReport(now);
        peerReport = it.takePeerReport();
        return ownReport;
    });
    setSender(report);
    report.sequence = ++m_sequence;
    if (m_readingHandlers.confirmation)
        report.confirmation = m_readingHandlers.confirmation();
    sendToNeighbours(encodeReport(report, now));
    if (!peerReport.isEmpty())
        sendPeerReport(peerReport);
}

void neighbour_link::updateNeighbourCount()
{
    const auto isNeighbour = [this](const auto& it) { return it.second.dataCentre == m_runtime.settings().dataCentre; };
    const auto neighbours = std::count_if(m_hosts.begin(), m_hosts.end(), isNeighbour);
    const std::lock_guard lock(m_pacingMutex);
    m_pacing.setNeighbours(static_cast<unsigned>(neighbours));
}

void neighbour_link::sendToNeighbours(const std::string& bytes)
{
    const auto& settings = m_runtime.settings();
    for (const auto& [name, entry] : m_hosts) {
        if (entry.dataCentre == settings.dataCentre && name != settings.hostName)
            sendTo(entry, bytes);
    }
}

void neighbour_link::sendPeerReport(const dispatch_core::peer_report& peerReport)
{
    for (const neighbour_sample& sample : peerReport.failures)
        logInfo(absl::StrCat("event=upstream-failing upstream=", sample.upstream, " result=", std::string(nameIn(attemptResultNames, sample.result))));
    neighbour_report report;
    setSender(report);
    report.samples = peerReport.failures;
    report.quarantined = peerReport.quarantined;
    report.suspectedUpstreams = peerReport.suspectedUpstreams;
    const std::string reportForAll = report.samples.empty() && report.quarantined.empty() && report.suspectedUpstreams.empty() ? "" : encodeReport(report, presentInstant());
    report.idleUpstreams = peerReport.idleUpstreams;
    const std::string reportForNearest = encodeReport(report, presentInstant());
    std::map<std::string, std::vector<const membership_entry*>> byDataCentre;
    for (const auto& [name, entry] : m_hosts) {
        if (entry.dataCentre != m_runtime.settings().dataCentre)
            byDataCentre[entry.dataCentre].push_back(&entry);
    }
    const auto isInRegion = [this](const auto& it) { return isSameRegion(m_runtime.settings().regions, it.first, m_runtime.settings().dataCentre); };
    const bool hasHostInRegion = std::any_of(byDataCentre.begin(), byDataCentre.end(), isInRegion);
    for (const auto& it : byDataCentre) {
        const std::string& bytes = !hasHostInRegion || isInRegion(it) ? reportForNearest : reportForAll;
        const auto& hosts = it.second;
        if (bytes.empty())
            continue;
        std::uniform_int_distribution<std::size_t> chooseHost(0, hosts.size() - 1);
        sendTo(*hosts[chooseHost(m_random)], bytes);
    }
}

void neighbour_link::sendTo(const membership_entry& entry, const std::string& bytes)
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
