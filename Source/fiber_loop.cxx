#include "fiber_loop.h"

#include "byte_stream.h"
#include "logging.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <boost/context/protected_fixedsize_stack.hpp>
#include <cerrno>
#include <exception>
#include <stdexcept>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace almondmoor {

namespace {

    // Only the pages that a fiber touches use memory.
    constexpr std::size_t stackBytes = std::size_t { 128 } * 1024;
    // Stacks that are kept for the next fibers of a thread.
    constexpr std::size_t maxKeptStacks = 64;
    constexpr int maxEventsPerPoll = 64;
    // How long a fiber that never waits keeps the thread while others wait for it.
    constexpr duration maxTurn = std::chrono::milliseconds(2);
    constexpr int maxPollMs = 3'600'000;

    thread_local fiber_loop* runningLoop = nullptr;
    thread_local unsigned noSuspendDepth = 0;

    // Keeps the stacks of ended fibers, because a new stack costs several system calls. Stacks end in a guard page.
    class kept_stacks {
    public:
        ~kept_stacks()
        {
            for (auto& stack : m_free)
                m_allocator.deallocate(stack);
        }

        boost::context::stack_context take()
        {
            if (m_free.empty())
                return m_allocator.allocate();
            const auto stack = m_free.back();
            m_free.pop_back();
            return stack;
        }

        void putBack(boost::context::stack_context& stack)
        {
            if (m_free.size() < maxKeptStacks)
                m_free.push_back(stack);
            else
                m_allocator.deallocate(stack);
        }

    private:
        boost::context::protected_fixedsize_stack m_allocator { stackBytes };
        std::vector<boost::context::stack_context> m_free;
    };

    thread_local kept_stacks threadStacks;

    // The stack allocator of fibers.
    struct stack_allocator {
        static boost::context::stack_context allocate() { return threadStacks.take(); }
        static void deallocate(boost::context::stack_context& stack) { threadStacks.putBack(stack); }
    };

    void checkMaySuspend()
    {
        if (noSuspendDepth > 0)
            throw std::logic_error("a fiber must not wait while it holds a lock");
    }

    std::system_error systemError(const char* call)
    {
        return { errno, std::generic_category(), call };
    }

} // namespace

no_suspend_scope::no_suspend_scope()
{
    ++noSuspendDepth;
}

no_suspend_scope::~no_suspend_scope()
{
    --noSuspendDepth;
}

fiber_loop::fiber_loop()
    : m_epoll(epoll_create1(EPOLL_CLOEXEC))
    , m_wake(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (m_epoll < 0 || m_wake < 0)
        throw systemError("epoll_create1 or eventfd");
    epoll_event event {};
    event.events = EPOLLIN;
    event.data.fd = m_wake;
    if (epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wake, &event) != 0)
        throw systemError("epoll_ctl");
}

fiber_loop::~fiber_loop()
{
    if (m_epoll >= 0)
        ::close(m_epoll);
    if (m_wake >= 0)
        ::close(m_wake);
}

fiber_loop* fiber_loop::current()
{
    return runningLoop;
}

void fiber_loop::post(std::function<void()> function)
{
    {
        const std::lock_guard lock(m_mutex);
        m_posted.push_back(std::move(function));
    }
    // The loop looks for posted functions before it waits.
    if (m_threadId == std::this_thread::get_id())
        return;
    const std::uint64_t one = 1;
    // The counter cannot overflow, and a loop that is awake reads it later.
    [[maybe_unused]] const auto written = ::write(m_wake, &one, sizeof(one));
}

void fiber_loop::stop()
{
    m_isStopping = true;
    post([] {});
}

void fiber_loop::run()
{
    std::array<epoll_event, maxEventsPerPoll> events {};
    m_threadId = std::this_thread::get_id();
    while (true) {
        runPosted();
        runTimers(presentInstant());
        runResumable();
        runYielded();
        if (m_isStopping && m_fiberCount == 0 && !hasPosted())
            return;
        const int count = epoll_wait(m_epoll, events.data(), maxEventsPerPoll, pollTimeoutMs(presentInstant()));
        for (int index = 0; index < count; ++index)
            handleEvent(events[static_cast<std::size_t>(index)].data.fd, events[static_cast<std::size_t>(index)].events);
    }
}

void fiber_loop::runPosted()
{
    std::vector<std::function<void()>> posted;
    {
        const std::lock_guard lock(m_mutex);
        posted.swap(m_posted);
    }
    for (auto& function : posted)
        function();
}

void fiber_loop::runResumable()
{
    while (!m_resumable.empty()) {
        const std::vector<waiter*> waiters = std::exchange(m_resumable, {});
        for (const waiter* it : waiters)
            resume(it->task);
    }
}

void fiber_loop::runYielded()
{
    if (m_yielded.empty())
        return;
    fiber_task* const task = m_yielded.front();
    m_yielded.pop_front();
    resume(task);
}

void fiber_loop::runTimers(instant now)
{
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        auto timer = m_timers.extract(m_timers.begin());
        timer.mapped()();
    }
}

bool fiber_loop::hasPosted() const
{
    const std::lock_guard lock(m_mutex);
    return !m_posted.empty();
}

int fiber_loop::pollTimeoutMs(instant now) const
{
    if (!m_resumable.empty() || !m_yielded.empty() || hasPosted())
        return 0;
    if (m_timers.empty())
        return maxPollMs;
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(m_timers.begin()->first - now).count();
    return static_cast<int>(std::clamp<std::int64_t>(remaining, 0, maxPollMs));
}

void fiber_loop::spawn(std::function<void()> function)
{
    auto task = std::make_unique<fiber_task>();
    task->function = std::move(function);
    task->fiber = boost::context::fiber(std::allocator_arg, stack_allocator {}, [this, it = task.get()](boost::context::fiber&& loopContext) {
        m_loopContext = std::move(loopContext);
        try {
            it->function();
        } catch (const std::exception& error) {
            logError(absl::StrCat("event=fiber-failed error=\"", error.what(), "\""));
        }
        return std::move(m_loopContext);
    });
    ++m_fiberCount;
    resume(task.release());
}

void fiber_loop::resume(fiber_task* task)
{
    fiber_task* const outer = std::exchange(m_running, task);
    const instant outerTurnEnd = std::exchange(m_turnEnd, presentInstant() + maxTurn);
    boost::context::fiber outerContext = std::move(m_loopContext);
    fiber_loop* const outerLoop = std::exchange(runningLoop, this);
    task->fiber = std::move(task->fiber).resume();
    runningLoop = outerLoop;
    m_loopContext = std::move(outerContext);
    m_turnEnd = outerTurnEnd;
    m_running = outer;
    if (task->fiber)
        return;
    delete task;
    --m_fiberCount;
}

void fiber_loop::suspend(waiter& it, instant deadline)
{
    it.task = m_running;
    bool hasTimer = true;
    const auto timer = m_timers.emplace(deadline, [this, &it, &hasTimer] {
        hasTimer = false;
        markResumable(it);
    });
    m_loopContext = std::move(m_loopContext).resume();
    if (hasTimer)
        m_timers.erase(timer);
}

void fiber_loop::markResumable(waiter& it)
{
    if (!std::exchange(it.isResumable, true))
        m_resumable.push_back(&it);
}

void fiber_loop::arm(int descriptor, std::uint32_t events)
{
    descriptor_row& row = m_descriptors[descriptor];
    epoll_event event {};
    event.events = events;
    event.data.fd = descriptor;
    // The kernel drops closed descriptors from the set, and their numbers are used again.
    const int operation = row.isAdded ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
    if (epoll_ctl(m_epoll, operation, descriptor, &event) != 0 && (errno == ENOENT || errno == EEXIST)) {
        const int other = errno == ENOENT ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
        (void)epoll_ctl(m_epoll, other, descriptor, &event);
    }
    row.isAdded = true;
}

void fiber_loop::handleEvent(int descriptor, std::uint32_t events)
{
    if (descriptor == m_wake) {
        std::uint64_t count = 0;
        [[maybe_unused]] const auto size = ::read(m_wake, &count, sizeof(count));
        return;
    }
    const auto found = m_descriptors.find(descriptor);
    if (found == m_descriptors.end())
        return;
    if (waiter* it = found->second.waiting) {
        for (pollfd& entry : it->descriptors) {
            const auto wanted = static_cast<std::uint32_t>(entry.events) | EPOLLERR | EPOLLHUP;
            if (entry.fd != descriptor || (events & wanted) == 0)
                continue;
            entry.revents = static_cast<short>(events & wanted);
            ++it->readyCount;
            markResumable(*it);
        }
        return;
    }
    if (found->second.readable) {
        // The function may unwatch the descriptor.
        const auto readable = found->second.readable;
        readable();
        return;
    }
    // Nobody waits for the descriptor any more. Errors would still be reported without EPOLLONESHOT.
    arm(descriptor, EPOLLONESHOT);
}

void fiber_loop::watch(int descriptor, std::function<void()> readable)
{
    m_descriptors[descriptor].readable = std::move(readable);
    arm(descriptor, EPOLLIN | EPOLLRDHUP);
}

void fiber_loop::unwatch(int descriptor)
{
    const auto found = m_descriptors.find(descriptor);
    if (found != m_descriptors.end())
        found->second.readable = nullptr;
}

void fiber_loop::callAfter(duration delay, std::function<void()> function)
{
    m_timers.emplace(presentInstant() + delay, std::move(function));
}

int fiber_loop::waitForEvents(std::span<pollfd> descriptors, instant deadline)
{
    checkMaySuspend();
    waiter it;
    it.descriptors = descriptors;
    for (pollfd& entry : descriptors) {
        entry.revents = 0;
        m_descriptors[entry.fd].waiting = &it;
        arm(entry.fd, static_cast<std::uint32_t>(entry.events) | EPOLLONESHOT);
    }
    suspend(it, deadline);
    for (const pollfd& entry : descriptors)
        m_descriptors[entry.fd].waiting = nullptr;
    return it.readyCount;
}

void fiber_loop::sleepUntil(instant deadline)
{
    checkMaySuspend();
    waiter it;
    suspend(it, deadline);
}

bool fiber_loop::yieldAfterTurn()
{
    if (presentInstant() < m_turnEnd)
        return false;
    checkMaySuspend();
    m_yielded.push_back(m_running);
    m_loopContext = std::move(m_loopContext).resume();
    return true;
}

} // namespace almondmoor
