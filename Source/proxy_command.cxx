#include "proxy_command.h"

#include "Core/error.h"
#include "logging.h"
#include "route_handler.h"

#include <Poco/Exception.h>
#include <absl/strings/str_cat.h>
#include <csignal>
#include <iostream>
#include <pthread.h>

namespace almondmoor {

namespace {

    constexpr int usageStatus = 2;
    constexpr int failureStatus = 1;
    constexpr unsigned checkWorkers = 1;
    constexpr unsigned checkConnections = 64;
    constexpr duration checkHeadTimeout = std::chrono::seconds(2);
    constexpr duration checkIdleTimeout = std::chrono::seconds(60);
    // Idle hosts should not wake up often.
    constexpr duration pollInterval = std::chrono::milliseconds(500);
    constexpr duration replyTimeout = std::chrono::seconds(1);
    // After this time from the signal a new request might not end in time.
    constexpr duration lastAdmission = std::chrono::milliseconds(2900);
    // Time kept at the end of the grace period for the process to end by itself.
    constexpr duration exitReserve = std::chrono::milliseconds(400);
    constexpr duration stopPoll = std::chrono::milliseconds(50);

    // Answers checks of readiness and requests for the counters.
    connection_disposition serveCheck(proxy_runtime& runtime, http_exchange& exchange)
    {
        const std::string path = exchange.request.getURI();
        std::string body;
        std::string status = "404 Not Found";
        if (path == "/ready") {
            const bool isReady = runtime.isReady();
            status = isReady ? "200 OK" : "503 Service Unavailable";
            body = isReady ? "ready\n" : "not ready\n";
        } else if (path == "/live") {
            status = "200 OK";
            body = "live\n";
        } else if (path == "/metrics") {
            status = "200 OK";
            body = runtime.counters().text();
        }
        const bool isKept = exchange.request.getKeepAlive() && exchange.framing.kind == body_kind::None;
        const std::string reply = absl::StrCat("HTTP/1.1 ", status, "\r\nContent-Type: text/plain\r\nContent-Length: ", body.size(), "\r\nConnection: ", isKept ? "keep-alive" : "close", "\r\n\r\n", body);
        const bool isSent = exchange.stream.send(reply, presentInstant() + replyTimeout).ok();
        return isSent && isKept ? connection_disposition::Keep : connection_disposition::Close;
    }

    listener_callbacks guestEvents(proxy_runtime& runtime)
    {
        return listener_callbacks { [&runtime] { runtime.counters().add(event::ConnectionsAccepted); },
            [&runtime] { runtime.counters().add(event::ConnectionsRefused); },
            [&runtime](bool isTooLarge) { runtime.counters().addRefusal(isTooLarge ? refusal_reason::HeadTooLarge : refusal_reason::BadRequest, ""); } };
    }

    // Waits until an instant, or until the function says that it is done.
    void waitUntil(instant end, const std::function<bool()>& isDone)
    {
        while (presentInstant() < end && !isDone())
            std::this_thread::sleep_for(stopPoll);
    }

    // Leaves the rotation first, then moves guests to other hosts, then ends.
    void drainGuests(proxy_runtime& runtime, http_listener& guests)
    {
        const instant begin = presentInstant();
        const auto never = [] { return false; };
        runtime.setPhase(stop_phase::Notice);
        waitUntil(begin + runtime.settings().stopNotice, never);
        runtime.setPhase(stop_phase::Closing);
        guests.beginClosing();
        waitUntil(begin + lastAdmission, never);
        runtime.setPhase(stop_phase::Ending);
        waitUntil(begin + runtime.settings().stopGrace - exitReserve, [&guests] { return guests.runningCount() == 0 && guests.connectionCount() == 0; });
        guests.stopAccepting();
        if (guests.runningCount() > 0) {
            runtime.counters().add(event::StopsForced);
            logWarning(absl::StrCat("event=stop phase=forced running=", guests.runningCount()));
        }
    }

    void blockSignals(sigset_t& signals)
    {
        sigemptyset(&signals);
        for (const int signal : { SIGTERM, SIGINT, SIGHUP })
            sigaddset(&signals, signal);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        std::signal(SIGPIPE, SIG_IGN);
    }

    // Waits for a signal that asks for a stop.
    void waitForStop(const sigset_t& signals)
    {
        int received = 0;
        while (sigwait(&signals, &received) != 0 || received == SIGHUP)
            logInfo("event=reload outcome=unchanged detail=\"settings are read at the start\"");
    }

} // namespace

int runProxy(int argumentCount, char** arguments, const proxy_adapter& adapter)
{
    proxy_settings settings;
    const auto status = readProxySettings(&argumentCount, &arguments, settings);
    if (!status.ok()) {
        std::cerr << "almondmoor: " << errorMessage(status) << "\n";
        return usageStatus;
    }
    // Signals are taken by this thread alone; all others inherit the mask.
    sigset_t signals;
    blockSignals(signals);
    startLogging(settings.logLevel, settings.hostName);

    proxy_runtime runtime(settings, adapter.wire);
    neighbour_link link(runtime);
    http_listener guests(
        { settings.guestAddress, settings.guestWorkers, settings.guestConnections, settings.headTimeout, settings.idleTimeout, pollInterval },
        [&runtime](http_exchange& exchange) { return route_handler(runtime, exchange).serve(); }, guestEvents(runtime));
    const auto serveChecks = [&runtime](http_exchange& exchange) { return serveCheck(runtime, exchange); };
    http_listener readiness({ settings.readinessAddress, checkWorkers, checkConnections, checkHeadTimeout, checkIdleTimeout, pollInterval }, serveChecks, { [] {}, [] {}, [](bool) {} });
    http_listener metricsPort({ settings.metricsAddress, checkWorkers, checkConnections, checkHeadTimeout, checkIdleTimeout, pollInterval }, serveChecks, { [] {}, [] {}, [](bool) {} });
    runtime.setAnnouncer([&link](update_urgency urgency) { link.announce(urgency); });
    runtime.setLimitsHandler([&guests](const client_limits& limits) { guests.setLimits(limits.maxHeadBytes, limits.headTimeout, limits.idleTimeout); });
    std::shared_ptr<void> feeds;
    try {
        link.start();
        guests.start();
        readiness.start();
        if (!settings.metricsAddress.empty())
            metricsPort.start();
        feeds = adapter.startFeeds(runtime, link);
    } catch (const Poco::Exception& error) {
        logError(absl::StrCat("event=start-failed error=\"", error.displayText(), "\""));
        return failureStatus;
    }
    logInfo(absl::StrCat("event=started guests=", settings.guestAddress, " peers=", settings.peerAddress, " store=", settings.storeAddress, " incarnation=", runtime.incarnation()));

    waitForStop(signals);
    drainGuests(runtime, guests);
    logInfo("event=stopped");
    stopLogging();
    // Threads that wait for the store are ended with the process.
    std::_Exit(0);
}

} // namespace almondmoor
