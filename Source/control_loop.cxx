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
    constexpr auto confirmationPoll = std::chrono::milliseconds(10);
    constexpr config_version changesPerSnapshot = 500;
    constexpr unsigned conflictRetries = 5;
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

    std::string drawChangeId()
    {
        return Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
    }

    change_rule ruleFor(const std::string& systemCommand)
    {
        const auto parsed = parseCommand(systemCommand);
        const bool changesRoster = parsed.ok() && (std::holds_alternative<join_host>(*parsed) || std::holds_alternative<leave_host>(*parsed));
        return changesRoster ? change_rule::Confirmed : change_rule::Always;
    }

    std::int64_t unixMs()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    }

} // namespace

control_loop::control_loop(host_runtime& runtime)
    : m_runtime(runtime)
    , m_log(runtime.platform())
    , m_member(memberSettings(runtime))
    , m_work(boost::asio::make_work_guard(m_context))
    , m_timer(m_context)
{
}

control_loop::~control_loop()
{
    stop();
}

absl::Status control_loop::start()
{
    m_link = std::make_unique<peer_link>(m_runtime.settings().peerAddress, peerTimeout, [this](const peer_message& request) { return answer(request); });
    m_thread = std::thread([this] { m_context.run(); });
    if (!m_link->start())
        return makeError(absl::StatusCode::kUnavailable, "listen", m_runtime.settings().peerAddress, "the peer port cannot be had");
    m_runtime.setShortageHandler([this] {
        if (!m_isShortagePosted.exchange(true))
            boost::asio::post(m_context, [this] { sendShortage(); });
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
    std::vector<health_transition> moved;
    m_runtime.withTraffic([&](traffic_core& it) {
        moved = it.tick(now);
        reports = it.holder().dueReports(now);
        samples = it.takeSamples();
        return 0;
    });
    logTransitions(moved);
    handleEffects(m_member.tick(std::move(reports), std::move(samples), now));
    if (!moved.empty())
        m_runtime.grantSlots();
    m_runtime.upstreams().closeIdle();
    pollStore(now);
    refreshHostList(now);
    submitOwnChanges(now);
    maybeWriteSnapshot();
}

void control_loop::logTransitions(const std::vector<health_transition>& moved)
{
    for (const health_transition& it : moved) {
        m_runtime.counters().addTransition(it.to, it.heldByFloor);
        logInfo(absl::StrCat("event=upstream-state upstream=", it.upstream, " from=", std::string(nameIn(upstreamStateNames, it.from)), " to=",
            std::string(nameIn(upstreamStateNames, it.to)), " fail-score=", it.failScore, " slow-score=", it.slowScore, it.heldByFloor ? " held-by=floor" : ""));
    }
}

void control_loop::handleEffects(member_effects effects)
{
    const instant now = presentInstant();
    if (effects.advanced) {
        m_runtime.counters().add(event::ChangesApplied);
        m_runtime.publish(m_member.held(), effects.wasFresh, effects.isMember, now);
        m_runtime.setMember(effects.isMember);
        logInfo(absl::StrCat("event=configuration version=", m_member.held()->version()));
    }
    const instant until = m_member.freshUntil(now);
    m_runtime.withTraffic([&](traffic_core& it) {
        it.setFreshUntil(until);
        for (const share_grant& grant : effects.grants)
            it.holder().applyGrant(grant, now);
        for (const remote_sample& sample : effects.samples)
            it.recordRemoteSample(sample.host, sample.dataCentre, sample.sample, now);
        return 0;
    });
    if (!effects.grants.empty())
        m_runtime.wakeTokenWaiters();
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

peer_message control_loop::answer(const peer_message& request)
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

void control_loop::sendShortage()
{
    m_isShortagePosted = false;
    const instant now = presentInstant();
    auto reports = m_runtime.withTraffic([now](traffic_core& it) { return it.holder().dueReports(now); });
    if (!reports.empty())
        handleEffects(m_member.sendShareReports(std::move(reports), now));
}

void control_loop::pollStore(instant now)
{
    if (m_isReading || !m_member.isStorePollDue(now))
        return;
    m_isReading = true;
    m_member.recordStorePoll(now);
    const config_version after = m_member.held()->version();
    boost::asio::post(m_storeThread, [this, after] {
        const instant askedAt = presentInstant();
        m_runtime.counters().add(event::StoreReads);
        call_result<log_read_result> found;
        try {
            found = m_log.readAfter(after);
        } catch (const Poco::Exception& error) {
            found.error = makeError(absl::StatusCode::kInternal, "read changes", "platform", error.displayText());
        }
        boost::asio::post(m_context, [this, askedAt, found = std::move(found)] { storeReadDone(askedAt, found); });
    });
}

void control_loop::storeReadDone(instant askedAt, const call_result<log_read_result>& found)
{
    m_isReading = false;
    if (found.outcome != call_outcome::Done) {
        m_runtime.counters().add(event::StoreReadFailures);
        return;
    }
    if (found.value.needsSnapshot) {
        loadSnapshot();
        return;
    }
    handleEffects(m_member.applyStoreRead(askedAt, found.value.head, found.value.changes, presentInstant()));
}

void control_loop::loadSnapshot()
{
    m_isReading = true;
    boost::asio::post(m_storeThread, [this] {
        const auto snapshot = m_log.readSnapshot();
        boost::asio::post(m_context, [this, snapshot] {
            m_isReading = false;
            if (snapshot.outcome == call_outcome::Done)
                handleEffects(m_member.applySnapshot(snapshot.value, presentInstant()));
            else
                logError(absl::StrCat("event=snapshot-failed error=\"", errorMessage(snapshot.error), "\""));
        });
    });
}

void control_loop::maybeWriteSnapshot()
{
    const auto held = m_member.held();
    if (held->version() < m_snapshotVersion + changesPerSnapshot || !m_member.isRelay(presentInstant()))
        return;
    m_snapshotVersion = held->version();
    boost::asio::post(m_storeThread, [this, held] { (void)m_log.writeSnapshot(*held); });
}

void control_loop::refreshHostList(instant now)
{
    const bool isKnown = !m_member.held()->hosts().empty();
    if (isKnown || now - m_hostListAt < hostListInterval)
        return;
    m_hostListAt = now;
    boost::asio::post(m_storeThread, [this] {
        const auto hosts = m_runtime.platform().listHosts();
        if (hosts.outcome != call_outcome::Done)
            return;
        std::vector<bootstrap_peer> peers;
        for (const listed_host& it : hosts.value) {
            if (it.name != m_runtime.settings().hostName && !it.leaving)
                peers.push_back(bootstrap_peer { it.name, it.peerAddress });
        }
        boost::asio::post(m_context, [this, peers = std::move(peers)] { m_member.setBootstrapPeers(peers); });
    });
}

void control_loop::submitOwnChanges(instant now)
{
    if (m_isProposing || now - m_proposedAt < proposalInterval || !m_member.freshnessState().storeReadAt())
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
    m_proposedAt = now;
    boost::asio::post(m_proposalThread, [this, commands = std::move(commands)] {
        for (const auto& command : commands) {
            change it { drawChangeId(), 0, systemAuthor, unixMs(), command };
            absl::Status refusal;
            if (commitChange(it, ruleFor(command), refusal).outcome != append_outcome::Accepted)
                break;
        }
        boost::asio::post(m_context, [this] { m_isProposing = false; });
    });
}

append_result control_loop::commitChange(change& it, change_rule rule, absl::Status& refusal)
{
    refusal = withMember([&](fleet_member& member) -> absl::Status {
        const instant now = presentInstant();
        if (rule == change_rule::Reachable && !member.hasReachableMajority(now))
            return makeError(absl::StatusCode::kUnavailable, "accept change", "",
                "no more than half of the hosts can be reached, so the change could not come into force; nothing was changed");
        if (rule == change_rule::Confirmed && !member.canChangeMembership())
            return makeError(absl::StatusCode::kUnavailable, "change roster", "", "an earlier change is not yet held by a majority");
        it.version = member.held()->version() + 1;
        return member.held()->check(it.command);
    });
    if (!refusal.ok())
        return { append_outcome::Conflict, 0, refusal };
    m_runtime.counters().add(event::StoreCommits);
    const instant askedAt = presentInstant();
    append_result result = m_log.append(it);
    if (result.outcome == append_outcome::Unknown)
        m_runtime.counters().add(event::StoreCommitsUnknown);
    if (result.outcome == append_outcome::Accepted) {
        it.version = result.version;
        withMember([&](fleet_member& member) {
            handleEffects(member.applyStoreRead(askedAt, member.held()->version(), { it }, presentInstant()));
            return 0;
        });
    }
    return result;
}

change_report control_loop::propose(const std::string& command, const std::string& author, change_rule rule)
{
    change it { drawChangeId(), 0, author, unixMs(), command };
    change_report report;
    report.changeId = it.id;
    append_result result;
    for (unsigned attempt = 0; attempt < conflictRetries; ++attempt) {
        absl::Status refusal;
        result = commitChange(it, rule, refusal);
        if (!refusal.ok()) {
            report.error = refusal;
            report.outcome = append_outcome::Conflict;
            return report;
        }
        if (result.outcome != append_outcome::Conflict)
            break;
        // Another change came first. Learn of it, then decide again on what it
        // left: the check tells whether this one still fits.
        const config_version head = result.version;
        const instant deadline = presentInstant() + confirmationTimeout;
        while (presentInstant() < deadline && withMember([](fleet_member& member) { return member.held()->version(); }) < head)
            std::this_thread::sleep_for(confirmationPoll);
    }
    report.outcome = result.outcome;
    report.error = result.error;
    if (result.outcome != append_outcome::Accepted)
        return report;
    const instant deadline = presentInstant() + confirmationTimeout;
    while (presentInstant() < deadline) {
        const bool isConfirmed = withMember([&](fleet_member& member) { return member.held()->version() >= result.version && member.isConfirmed(result.version); });
        if (isConfirmed)
            break;
        std::this_thread::sleep_for(confirmationPoll);
    }
    return find(it.id);
}

change_report control_loop::find(const std::string& changeId)
{
    change_report report;
    report.changeId = changeId;
    const auto version = m_log.acceptedVersionOf(changeId);
    report.error = version.error;
    if (version.outcome != call_outcome::Done) {
        report.outcome = append_outcome::Unknown;
        return report;
    }
    if (version.value == 0) {
        report.outcome = append_outcome::Unavailable;
        report.error = makeError(absl::StatusCode::kNotFound, "find change", "", absl::StrCat("no change '", changeId, "' was accepted"));
        return report;
    }
    report.outcome = append_outcome::Accepted;
    report.version = version.value;
    withMember([&](fleet_member& member) {
        report.isConfirmed = member.isConfirmed(report.version);
        report.holders = member.countHostsWith(report.version);
        report.hosts = member.held()->hosts().size();
        report.hostsWithout = member.hostsWithout(report.version);
        return 0;
    });
    return report;
}

void control_loop::handOff()
{
    const instant deadline = presentInstant() + confirmationTimeout;
    while (presentInstant() < deadline) {
        const auto commands = withMember([](fleet_member& member) { return member.handOffCommands(presentInstant()); });
        if (commands.empty())
            return;
        change it { drawChangeId(), 0, systemAuthor, unixMs(), commands.front() };
        absl::Status refusal;
        if (commitChange(it, change_rule::Always, refusal).outcome == append_outcome::Unavailable)
            break;
    }
    logWarning("event=hand-off-failed");
}

void control_loop::leaveRoster()
{
    const std::string command = formatCommand(leave_host { m_runtime.settings().hostName, withMember([](fleet_member& member) { return member.incarnation(); }) });
    change it { drawChangeId(), 0, systemAuthor, unixMs(), command };
    const instant deadline = presentInstant() + confirmationTimeout;
    absl::Status refusal;
    while (presentInstant() < deadline) {
        const auto outcome = commitChange(it, change_rule::Confirmed, refusal).outcome;
        if (outcome == append_outcome::Accepted)
            return;
        std::this_thread::sleep_for(confirmationPoll);
    }
    // The others will find this host silent and remove it from the roster.
    logWarning(absl::StrCat("event=leave-failed error=\"", errorMessage(refusal), "\""));
}

void control_loop::stop()
{
    if (!m_thread.joinable())
        return;
    const auto reports = m_runtime.withTraffic([](traffic_core& it) { return it.holder().finalReports(presentInstant()); });
    const bool wasMember = withMember([&](fleet_member& member) {
        handleEffects(member.sendShareReports(reports, presentInstant()));
        m_hasLeft = true;
        return member.isMember();
    });
    if (wasMember)
        leaveRoster();
    withMember([this](fleet_member&) {
        m_isStopping = true;
        m_timer.cancel();
        return 0;
    });
    m_storeThread.join();
    m_proposalThread.join();
    m_link->stop();
    m_work.reset();
    m_thread.join();
}

} // namespace almondmoor
