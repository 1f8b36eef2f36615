#include "control_loop.h"

#include "Core/command.h"
#include "logging.h"

#include <Poco/Exception.h>
#include <Poco/UUIDGenerator.h>
#include <absl/strings/str_cat.h>

namespace almondmoor {

namespace {

    constexpr auto tickInterval = std::chrono::milliseconds(50);
    constexpr duration peerTimeout = std::chrono::milliseconds(1000);
    constexpr duration hostListInterval = std::chrono::seconds(2);
    constexpr duration proposalInterval = std::chrono::milliseconds(300);
    constexpr duration confirmationTimeout = std::chrono::seconds(4);
    constexpr auto confirmationPollInterval = std::chrono::milliseconds(10);
    constexpr config_version changesPerSnapshot = 500;
    constexpr unsigned maxCommitAttempts = 5;
    constexpr const char* systemAuthor = "system";

    member_settings memberSettings(const host_runtime& runtime)
    {
        const auto& from = runtime.settings();
        member_settings to;
        to.host = from.hostName;
        to.incarnation = runtime.incarnation();
        to.peerAddress = from.peerAddress;
        to.dataCentre = from.dataCentre;
        to.freshness = from.freshness;
        to.allowance = from.traffic.allowance;
        return to;
    }

    std::string generateChangeId()
    {
        return Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
    }

    change_precondition preconditionFor(const std::string& systemCommand)
    {
        const auto parsed = parseCommand(systemCommand);
        const bool changesMembership = parsed.ok() && (std::holds_alternative<join_host>(*parsed) || std::holds_alternative<leave_host>(*parsed));
        return changesMembership ? change_precondition::EarlierChangesConfirmed : change_precondition::None;
    }

    std::int64_t unixTimeMs()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    }

} // namespace

control_loop::control_loop(host_runtime& runtime)
    : m_runtime(runtime)
    , m_changeLog(runtime.platform())
    , m_member(memberSettings(runtime))
    , m_workGuard(boost::asio::make_work_guard(m_context))
    , m_timer(m_context)
{
}

control_loop::~control_loop()
{
    stop();
}

absl::Status control_loop::start()
{
    m_link = std::make_unique<peer_link>(m_runtime.settings().peerAddress, peerTimeout, [this](const peer_message& request) { return handleRequest(request); });
    m_thread = std::thread([this] { m_context.run(); });
    if (!m_link->start())
        return makeError(absl::StatusCode::kUnavailable, "listen", m_runtime.settings().peerAddress, "the peer port could not be opened");
    m_runtime.setTokenShortageHandler([this] {
        if (!m_isShareReportPosted.exchange(true))
            boost::asio::post(m_context, [this] { sendDueShareReports(); });
    });
    boost::asio::post(m_context, [this] { runTicks(); });
    return absl::OkStatus();
}

void control_loop::runTicks()
{
    if (m_isStopping)
        return;
    tick();
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            runTicks();
    });
}

void control_loop::tick()
{
    const instant now = presentInstant();
    std::vector<share_report> reports;
    std::vector<attempt_sample> samples;
    std::vector<health_transition> transitions;
    std::vector<quarantined_request> quarantined;
    m_runtime.withTraffic([&](traffic_core& traffic) {
        transitions = traffic.tick(now);
        reports = traffic.holder().dueReports(now);
        samples = traffic.takeSamples();
        quarantined = traffic.quarantinedRequests(now);
        return 0;
    });
    logTransitions(transitions);
    m_member.setQuarantinedRequests(std::move(quarantined));
    handleEffects(m_member.tick(std::move(reports), std::move(samples), now));
    if (!transitions.empty())
        m_runtime.grantSlots();
    m_runtime.upstreams().closeIdle();
    pollStore(now);
    refreshHostList(now);
    submitOwnChanges(now);
    writeSnapshotIfDue();
}

void control_loop::logTransitions(const std::vector<health_transition>& transitions)
{
    for (const health_transition& transition : transitions) {
        m_runtime.counters().addTransition(transition.to, transition.heldByFloor);
        logInfo(absl::StrCat("event=upstream-state upstream=", transition.upstream, " from=", std::string(nameIn(upstreamStateNames, transition.from)), " to=",
            std::string(nameIn(upstreamStateNames, transition.to)), " fail-score=", transition.failScore, " slow-score=", transition.slowScore, transition.heldByFloor ? " held-by=floor" : ""));
    }
}

void control_loop::handleEffects(member_effects effects)
{
    const instant now = presentInstant();
    if (effects.advanced) {
        m_runtime.counters().add(event::ChangesApplied);
        m_runtime.publishConfiguration(m_member.held(), effects.wasFresh, effects.isMember, now);
        m_runtime.setMember(effects.isMember);
        logInfo(absl::StrCat("event=configuration version=", m_member.held()->version()));
    }
    const instant until = m_member.freshUntil(now);
    m_runtime.withTraffic([&](traffic_core& traffic) {
        traffic.setFreshUntil(until);
        for (const share_grant& grant : effects.grants)
            traffic.holder().applyGrant(grant, now);
        for (const remote_sample& sample : effects.samples)
            traffic.recordRemoteSample(sample.host, sample.dataCentre, sample.sample, now);
        for (const quarantined_request& it : effects.quarantined)
            traffic.recordRemoteQuarantine(it, now);
        return 0;
    });
    if (!effects.grants.empty())
        m_runtime.notifyTokenWaiters();
    if (effects.advanced)
        m_runtime.grantSlots();
    for (const outgoing_message& message : effects.messages)
        send(message);
    const bool isFresh = now <= until;
    if (isFresh != m_wasFresh) {
        m_wasFresh = isFresh;
        m_runtime.setFresh(isFresh);
        logInfo(absl::StrCat("event=freshness fresh=", isFresh ? "yes" : "no", " version=", m_member.held()->version()));
    }
}

void control_loop::send(const outgoing_message& message)
{
    if (message.address.empty())
        return;
    const message_kind kind = message.kind;
    const std::size_t bytes = m_link->send(message, [this, kind](const peer_message* reply, std::size_t replyBytes) {
        m_runtime.counters().addPeerMessage(kind, replyBytes);
        if (!reply) {
            m_runtime.counters().add(event::PeerFailures);
            return;
        }
        boost::asio::post(m_context, [this, received = *reply] { handleEffects(m_member.receive(received, presentInstant())); });
    });
    m_runtime.counters().addPeerMessage(kind, bytes);
}

peer_message control_loop::handleRequest(const peer_message& request)
{
    std::promise<peer_message> result;
    auto future = result.get_future();
    boost::asio::post(m_context, [&] {
        const instant now = presentInstant();
        handleEffects(m_member.receive(request, now));
        result.set_value(m_member.reply(request, now));
    });
    return future.get();
}

void control_loop::sendDueShareReports()
{
    m_isShareReportPosted = false;
    const instant now = presentInstant();
    auto reports = m_runtime.withTraffic([now](traffic_core& traffic) { return traffic.holder().dueReports(now); });
    if (!reports.empty())
        handleEffects(m_member.sendShareReports(std::move(reports), now));
}

void control_loop::pollStore(instant now)
{
    if (m_isReadingStore || !m_member.isStorePollDue(now))
        return;
    m_isReadingStore = true;
    m_member.recordStorePoll(now);
    const config_version after = m_member.held()->version();
    boost::asio::post(m_storeThread, [this, after] {
        const instant requestedAt = presentInstant();
        m_runtime.counters().add(event::StoreReads);
        call_result<log_read_result> readResult;
        try {
            readResult = m_changeLog.readAfter(after);
        } catch (const Poco::Exception& error) {
            readResult.error = makeError(absl::StatusCode::kInternal, "read changes", "platform", error.displayText());
        }
        boost::asio::post(m_context, [this, requestedAt, readResult = std::move(readResult)] { handleStoreRead(requestedAt, readResult); });
    });
}

void control_loop::handleStoreRead(instant requestedAt, const call_result<log_read_result>& readResult)
{
    m_isReadingStore = false;
    if (readResult.outcome != call_outcome::Done) {
        m_runtime.counters().add(event::StoreReadFailures);
        return;
    }
    if (readResult.value.needsSnapshot) {
        loadSnapshot();
        return;
    }
    handleEffects(m_member.applyStoreRead(requestedAt, readResult.value.head, readResult.value.changes, presentInstant()));
}

void control_loop::loadSnapshot()
{
    m_isReadingStore = true;
    boost::asio::post(m_storeThread, [this] {
        const auto snapshot = m_changeLog.readSnapshot();
        boost::asio::post(m_context, [this, snapshot] {
            m_isReadingStore = false;
            if (snapshot.outcome == call_outcome::Done)
                handleEffects(m_member.applySnapshot(snapshot.value, presentInstant()));
            else
                logError(absl::StrCat("event=snapshot-failed error=\"", errorMessage(snapshot.error), "\""));
        });
    });
}

void control_loop::writeSnapshotIfDue()
{
    const auto held = m_member.held();
    if (held->version() < m_lastSnapshotVersion + changesPerSnapshot || !m_member.isRelay(presentInstant()))
        return;
    m_lastSnapshotVersion = held->version();
    boost::asio::post(m_storeThread, [this, held] { (void)m_changeLog.writeSnapshot(*held); });
}

void control_loop::refreshHostList(instant now)
{
    const bool isMembershipKnown = !m_member.held()->hosts().empty();
    if (isMembershipKnown || now - m_lastHostListAt < hostListInterval)
        return;
    m_lastHostListAt = now;
    boost::asio::post(m_storeThread, [this] {
        const auto hosts = m_runtime.platform().listHosts();
        if (hosts.outcome != call_outcome::Done)
            return;
        std::vector<bootstrap_peer> peers;
        for (const listed_host& listedHost : hosts.value) {
            if (listedHost.name != m_runtime.settings().hostName && !listedHost.leaving)
                peers.push_back(bootstrap_peer { listedHost.name, listedHost.peerAddress });
        }
        boost::asio::post(m_context, [this, peers = std::move(peers)] { m_member.setBootstrapPeers(peers); });
    });
}

void control_loop::submitOwnChanges(instant now)
{
    if (m_isProposing || now - m_lastProposalAt < proposalInterval || !m_member.freshnessState().storeReadAt())
        return;
    std::vector<std::string> commands;
    if (!m_member.isMember()) {
        const auto& settings = m_runtime.settings();
        if (m_member.canChangeMembership() && !m_hasLeft)
            commands.push_back(formatCommand(join_host { host { settings.hostName, m_member.incarnation(), settings.peerAddress, settings.dataCentre, false } }));
    } else {
        commands = m_member.proposedCommands(now);
    }
    if (commands.empty())
        return;
    m_isProposing = true;
    m_lastProposalAt = now;
    boost::asio::post(m_proposalThread, [this, commands = std::move(commands)] {
        for (const auto& command : commands) {
            change proposal { generateChangeId(), 0, systemAuthor, unixTimeMs(), command };
            absl::Status refusal;
            if (commitChange(proposal, preconditionFor(command), refusal).outcome != append_outcome::Accepted)
                break;
        }
        boost::asio::post(m_context, [this] { m_isProposing = false; });
    });
}

append_result control_loop::commitChange(change& proposal, change_precondition precondition, absl::Status& refusal)
{
    refusal = withMember([&](fleet_member& member) -> absl::Status {
        const instant now = presentInstant();
        if (precondition == change_precondition::MajorityReachable && !member.hasReachableMajority(now))
            return makeError(absl::StatusCode::kUnavailable, "accept change", "",
                "no more than half of the hosts can be reached, so the change could not come into force; nothing was changed");
        if (precondition == change_precondition::EarlierChangesConfirmed && !member.canChangeMembership())
            return makeError(absl::StatusCode::kUnavailable, "change membership", "", "an earlier change is not yet held by a majority");
        proposal.version = member.held()->version() + 1;
        return member.held()->check(proposal.command);
    });
    if (!refusal.ok())
        return { append_outcome::Conflict, 0, refusal };
    m_runtime.counters().add(event::StoreCommits);
    const instant requestedAt = presentInstant();
    append_result result = m_changeLog.append(proposal);
    if (result.outcome == append_outcome::Unknown)
        m_runtime.counters().add(event::StoreCommitsUnknown);
    if (result.outcome == append_outcome::Accepted) {
        proposal.version = result.version;
        withMember([&](fleet_member& member) {
            handleEffects(member.applyStoreRead(requestedAt, member.held()->version(), { proposal }, presentInstant()));
            return 0;
        });
    }
    return result;
}

change_status control_loop::propose(const std::string& command, const std::string& author, change_precondition precondition)
{
    change proposal { generateChangeId(), 0, author, unixTimeMs(), command };
    change_status status;
    status.changeId = proposal.id;
    append_result result;
    for (unsigned attempt = 0; attempt < maxCommitAttempts; ++attempt) {
        absl::Status refusal;
        result = commitChange(proposal, precondition, refusal);
        if (!refusal.ok()) {
            status.error = refusal;
            status.outcome = append_outcome::Conflict;
            return status;
        }
        if (result.outcome != append_outcome::Conflict)
            break;
        // Another change was committed first. Wait until this host holds that change, then try again. commitChange()
        // checks whether the proposed change is still valid.
        const config_version head = result.version;
        const instant deadline = presentInstant() + confirmationTimeout;
        while (presentInstant() < deadline && withMember([](fleet_member& member) { return member.held()->version(); }) < head)
            std::this_thread::sleep_for(confirmationPollInterval);
    }
    status.outcome = result.outcome;
    status.error = result.error;
    if (result.outcome != append_outcome::Accepted)
        return status;
    const instant deadline = presentInstant() + confirmationTimeout;
    while (presentInstant() < deadline) {
        const bool isConfirmed = withMember([&](fleet_member& member) { return member.held()->version() >= result.version && member.isConfirmed(result.version); });
        if (isConfirmed)
            break;
        std::this_thread::sleep_for(confirmationPollInterval);
    }
    return find(proposal.id);
}

change_status control_loop::find(const std::string& changeId)
{
    change_status status;
    status.changeId = changeId;
    const auto version = m_changeLog.acceptedVersionOf(changeId);
    status.error = version.error;
    if (version.outcome != call_outcome::Done) {
        status.outcome = append_outcome::Unknown;
        return status;
    }
    if (version.value == 0) {
        status.outcome = append_outcome::Unavailable;
        status.error = makeError(absl::StatusCode::kNotFound, "find change", "", absl::StrCat("no change '", changeId, "' was accepted"));
        return status;
    }
    status.outcome = append_outcome::Accepted;
    status.version = version.value;
    withMember([&](fleet_member& member) {
        status.isConfirmed = member.isConfirmed(status.version);
        status.holderCount = member.countHostsWith(status.version);
        status.hostCount = member.held()->hosts().size();
        status.hostsWithout = member.hostsWithout(status.version);
        return 0;
    });
    return status;
}

void control_loop::handOffAllowances()
{
    const instant deadline = presentInstant() + confirmationTimeout;
    while (presentInstant() < deadline) {
        const auto commands = withMember([](fleet_member& member) { return member.handOffCommands(presentInstant()); });
        if (commands.empty())
            return;
        change proposal { generateChangeId(), 0, systemAuthor, unixTimeMs(), commands.front() };
        absl::Status refusal;
        if (commitChange(proposal, change_precondition::None, refusal).outcome == append_outcome::Unavailable)
            break;
    }
    logWarning("event=hand-off-failed");
}

void control_loop::leaveFleet()
{
    const std::string command = formatCommand(leave_host { m_runtime.settings().hostName, withMember([](fleet_member& member) { return member.incarnation(); }) });
    change proposal { generateChangeId(), 0, systemAuthor, unixTimeMs(), command };
    const instant deadline = presentInstant() + confirmationTimeout;
    absl::Status refusal;
    while (presentInstant() < deadline) {
        const auto outcome = commitChange(proposal, change_precondition::EarlierChangesConfirmed, refusal).outcome;
        if (outcome == append_outcome::Accepted)
            return;
        std::this_thread::sleep_for(confirmationPollInterval);
    }
    // The other hosts will remove this host from the membership when it times out.
    logWarning(absl::StrCat("event=leave-failed error=\"", errorMessage(refusal), "\""));
}

void control_loop::stop()
{
    if (!m_thread.joinable())
        return;
    const auto reports = m_runtime.withTraffic([](traffic_core& traffic) { return traffic.holder().finalReports(presentInstant()); });
    const bool wasMember = withMember([&](fleet_member& member) {
        handleEffects(member.sendShareReports(reports, presentInstant()));
        m_hasLeft = true;
        return member.isMember();
    });
    if (wasMember)
        leaveFleet();
    withMember([this](fleet_member&) {
        m_isStopping = true;
        m_timer.cancel();
        return 0;
    });
    m_storeThread.join();
    m_proposalThread.join();
    m_link->stop();
    m_workGuard.reset();
    m_thread.join();
}

} // namespace almondmoor
