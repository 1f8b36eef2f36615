#include "proxy_command.h"

#include "Core/error.h"
#include "logging.h"
#include "route_handler.h"
#include "stop_schedule.h"

#include <Poco/Exception.h>
#include <absl/strings/str_cat.h>
#include <csignal>
#include <iostream>
#include <pthread.h>

namespace almondmoor {

namespace {

    constexpr int usageStatus = 2;
    constexpr int failureStatus = 1;
    constexpr unsigned checkConnections = 64;
    constexpr duration checkHeadTimeout = std::chrono::seconds(2);
    constexpr duration checkIdleTimeout = std::chrono::seconds(60);
    // Long enough that an idle host seldom wakes up.
    constexpr duration pollInterval = std::chrono::milliseconds(500);
    constexpr duration replyTimeout = std::chrono::seconds(1);
    constexpr duration stopPollInterval = std::chrono::milliseconds(50);

    // Serves the readiness check, the liveness check and the metrics.
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
        const bool isKeptAlive = exchange.request.getKeepAlive() && exchange.framing.kind == body_kind::None;
        const std::string reply = absl::StrCat("HTTP/1.1 ", status, "\r\nContent-Type: text/plain\r\nContent-Length: ", body.size(), "\r\nConnection: ", isKeptAlive ? "keep-alive" : "close", "\r\n\r\n", body);
        const bool isSent = exchange.stream.send(reply, presentInstant() + replyTimeout).ok();
        return isSent && isKeptAlive ? connection_disposition::Keep : connection_disposition::Close;
    }

    listener_callbacks clientEvents(proxy_runtime& runtime)
    {
        return listener_callbacks { [&runtime] { runtime.counters().add(event::ConnectionsAccepted); },
            [&runtime] { runtime.counters().add(event::ConnectionsRefused); },
            [&runtime](bool isTooLarge) { runtime.counters().addRefusal(isTooLarge ? refusal_reason::HeadTooLarge : refusal_reason::BadRequest, ""); },
            [&runtime](const std::string& detail) {
                runtime.counters().add(event::ExchangesFailed);
                logError(absl::StrCat("event=exchange-failed error=\"", detail, "\""));
            } };
    }

    // Waits until the deadline or until isDone() returns true.
    void waitUntil(instant deadline, const std::function<bool()>& isDone)
    {
        while (presentInstant() < deadline && !isDone())
            std::this_thread::sleep_for(stopPollInterval);
    }

    // Performs a planned stop: reports not ready so that the load balancer removes this
    // host, then closes each connection after its response so that clients reconnect to
    // other hosts, and finally refuses new requests and waits for the running ones.
    void drainClients(proxy_runtime& runtime, http_listener& clientListener)
    {
        const instant stopBeganAt = presentInstant();
        const stop_schedule schedule = makeStopSchedule(runtime.settings().stopNotice, runtime.settings().stopGrace);
        const auto never = [] { return false; };
        runtime.setPhase(stop_phase::Notice);
        waitUntil(stopBeganAt + schedule.closeAt, never);
        runtime.setPhase(stop_phase::Closing);
        clientListener.beginClosing();
        waitUntil(stopBeganAt + schedule.refuseAt, never);
        runtime.setPhase(stop_phase::Ending);
        waitUntil(stopBeganAt + schedule.exitAt, [&clientListener] { return clientListener.runningCount() == 0 && clientListener.connectionCount() == 0; });
        clientListener.stopAccepting();
        if (clientListener.runningCount() > 0) {
            runtime.counters().add(event::StopsForced);
            logWarning(absl::StrCat("event=stop phase=forced running=", clientListener.runningCount()));
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

    // Waits for SIGTERM or SIGINT. SIGHUP changes nothing and is only logged.
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
    // Only this thread handles signals, with sigwait(); all other threads inherit the mask.
    sigset_t signals;
    blockSignals(signals);
    startLogging(settings.logLevel, settings.hostName);

    proxy_runtime runtime(settings, adapter.wire);
    neighbour_link link(runtime);
    http_listener clientListener(
        { settings.clientAddress, 0, settings.maxClientConnections, settings.headTimeout, settings.idleTimeout, pollInterval },
        [&runtime](http_exchange& exchange) { return route_handler(runtime, exchange).serve(); }, clientEvents(runtime));
    const auto serveChecks = [&runtime](http_exchange& exchange) { return serveCheck(runtime, exchange); };
    http_listener readinessListener({ settings.readinessAddress, 0, checkConnections, checkHeadTimeout, checkIdleTimeout, pollInterval }, serveChecks, { [] {}, [] {}, [](bool) {} });
    http_listener metricsListener({ settings.metricsAddress, 0, checkConnections, checkHeadTimeout, checkIdleTimeout, pollInterval }, serveChecks, { [] {}, [] {}, [](bool) {} });
    runtime.setReportScheduler([&link](update_urgency urgency) { link.scheduleReport(urgency); });
    runtime.setLimitsHandler([&clientListener](const client_limits& limits) { clientListener.setLimits(limits.maxHeadBytes, limits.headTimeout, limits.idleTimeout); });
    std::shared_ptr<void> feeds;
    try {
        link.start();
        clientListener.start();
        readinessListener.start();
        if (!settings.metricsAddress.empty())
            metricsListener.start();
        feeds = adapter.startFeeds(runtime, link);
    } catch (const Poco::Exception& error) {
        logError(absl::StrCat("event=start-failed error=\"", error.displayText(), "\""));
        return failureStatus;
    }
    logInfo(absl::StrCat("event=started guests=", settings.clientAddress, " peers=", settings.peerAddress, " store=", settings.storeAddress, " incarnation=", runtime.incarnation()));

    waitForStop(signals);
    drainClients(runtime, clientListener);
    logInfo("event=stopped");
    stopLogging();
    // Does not join the threads that may still wait for a response of the store.
    std::_Exit(0);
}

} // namespace almondmoor
