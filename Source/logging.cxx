#include "logging.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace almondmoor {

namespace {

    constexpr int maxQueuedLines = 1024;

    log4cxx::LoggerPtr logger()
    {
        return log4cxx::Logger::getLogger("almondmoor");
    }

} // namespace

void startLogging(const std::string& level, const std::string& host)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>("time=%d{yyyy-MM-ddTHH:mm:ss.SSSZ} level=%p host=" + host + " %m%n");
    const auto console = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemOut());
    const auto queue = std::make_shared<log4cxx::AsyncAppender>();
    queue->setBufferSize(maxQueuedLines);
    queue->setBlocking(false);
    queue->addAppender(console);
    log4cxx::BasicConfigurator::configure(queue);
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::toLevel(level));
}

void stopLogging()
{
    log4cxx::Logger::getRootLogger()->removeAllAppenders();
}

void logInfo(const std::string& text)
{
    LOG4CXX_INFO(logger(), text);
}

void logWarning(const std::string& text)
{
    LOG4CXX_WARN(logger(), text);
}

void logError(const std::string& text)
{
    LOG4CXX_ERROR(logger(), text);
}

} // namespace almondmoor
