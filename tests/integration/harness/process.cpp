#include "integration/harness/process.h"

#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <mutex>
#include <random>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/filesystem.hpp>

extern char **environ;

namespace berylspring::test {

namespace {

constexpr auto PollInterval = std::chrono::milliseconds(10);

/** @brief Ids of the running child processes, to kill them when the test program ends without stack unwinding. */
class RunningProcesses
{
public:
    void add(pid_t id)
    {
        for (std::atomic<pid_t> &slot : m_ids) {
            pid_t expected = 0;
            if (slot.compare_exchange_strong(expected, id)) {
                return;
            }
        }
    }
    void remove(pid_t id)
    {
        for (std::atomic<pid_t> &slot : m_ids) {
            pid_t expected = id;
            slot.compare_exchange_strong(expected, 0);
        }
    }
    /** @brief Async-signal-safe. */
    void killAll() const
    {
        for (const std::atomic<pid_t> &slot : m_ids) {
            if (slot > 0) {
                ::kill(slot, SIGKILL);
            }
        }
    }

private:
    static constexpr std::size_t MaxProcesses = 1024;
    std::array<std::atomic<pid_t>, MaxProcesses> m_ids{};
};

RunningProcesses &runningProcesses()
{
    static RunningProcesses processes;
    return processes;
}

void killAllAndReraise(int number)
{
    runningProcesses().killAll();
    std::signal(number, SIG_DFL);
    std::raise(number);
}

/** @brief Installs handlers that kill all children when the test program ends without stack unwinding. */
void installKillHandlers()
{
    static std::once_flag installed;
    std::call_once(installed, [] {
        static const std::terminate_handler previous = std::get_terminate();
        std::atexit([] { runningProcesses().killAll(); });
        std::signal(SIGTERM, killAllAndReraise);
        std::signal(SIGINT, killAllAndReraise);
        std::set_terminate([] {
            runningProcesses().killAll();
            previous();
        });
    });
}

pid_t spawn(const std::vector<std::string> &arguments, const std::string &outputFile)
{
    std::vector<char *> pointers;
    for (const std::string &argument : arguments) {
        pointers.push_back(const_cast<char *>(argument.c_str()));
    }
    pointers.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    constexpr mode_t OwnerOnly = 0600;
    posix_spawn_file_actions_addopen(
        &actions, STDOUT_FILENO, outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, OwnerOnly);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    pid_t id = -1;
    const int error = posix_spawn(&id, pointers[0], &actions, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw std::runtime_error("cannot start " + arguments.at(0) + ": " + std::to_string(error));
    }
    return id;
}

bool isFree(int socketType, std::uint16_t port)
{
    const int descriptor = ::socket(AF_INET, socketType | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const bool isBound = ::bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
    ::close(descriptor);
    return isBound;
}

ProcessEnd toProcessEnd(int status)
{
    return WIFEXITED(status) ? ProcessEnd{.exitStatus = WEXITSTATUS(status)}
                             : ProcessEnd{.exitStatus = -1, .signal = WTERMSIG(status)};
}

}

TemporaryDirectory::TemporaryDirectory()
    : m_path((boost::filesystem::temp_directory_path() / "berylspring-XXXXXX").string())
{
    if (mkdtemp(m_path.data()) == nullptr) {
        throw std::runtime_error("cannot create the directory " + m_path);
    }
}

TemporaryDirectory::~TemporaryDirectory()
{
    if (std::getenv("BERYLSPRING_KEEP_FILES") == nullptr) {
        boost::system::error_code ignored;
        boost::filesystem::remove_all(m_path, ignored);
    }
}

Process::Process(std::string name, const std::vector<std::string> &arguments, std::string outputFile)
    : m_name(std::move(name))
    , m_outputFile(std::move(outputFile))
    , m_id(spawn(arguments, m_outputFile))
{
    installKillHandlers();
    runningProcesses().add(m_id);
}

Process::Process(Process &&other) noexcept
    : m_name(std::move(other.m_name))
    , m_outputFile(std::move(other.m_outputFile))
    , m_id(std::exchange(other.m_id, -1))
    , m_end(other.m_end)
{
}

Process::~Process()
{
    if (m_id <= 0 || m_end) {
        return;
    }
    ::kill(m_id, SIGKILL);
    int status = 0;
    waitpid(m_id, &status, 0);
    runningProcesses().remove(m_id);
}

std::string Process::waitForLine(const std::string &prefix, core::Duration timeout)
{
    std::optional<std::string> rest;
    const auto hasLine = [&] {
        std::istringstream lines(output());
        for (std::string line; std::getline(lines, line) && !lines.eof();) {
            if (line.starts_with(prefix)) {
                rest = line.substr(prefix.size());
                return true;
            }
        }
        return poll().has_value();
    };
    if (!waitUntil(hasLine, timeout) || !rest) {
        fail("no output line begins with \"" + prefix + "\"");
    }
    return *rest;
}

std::uint16_t Process::waitForPort(const std::string &name, core::Duration timeout)
{
    const std::string prefix = name.empty() ? "listening " : "listening " + name + " ";
    return static_cast<std::uint16_t>(std::stoul(waitForLine(prefix, timeout)));
}

void Process::terminate() const
{
    signal(SIGTERM);
}

void Process::kill() const
{
    signal(SIGKILL);
}

void Process::pause() const
{
    signal(SIGSTOP);
}

void Process::resume() const
{
    signal(SIGCONT);
}

ProcessEnd Process::wait(core::Duration timeout)
{
    if (!waitUntil([&] { return poll().has_value(); }, timeout)) {
        fail("is still running");
    }
    return *m_end;
}

std::optional<ProcessEnd> Process::poll()
{
    int status = 0;
    if (!m_end && waitpid(m_id, &status, WNOHANG) == m_id) {
        m_end = toProcessEnd(status);
        runningProcesses().remove(m_id);
    }
    return m_end;
}

ProcessUsage Process::usage() const
{
    std::ifstream stat("/proc/" + std::to_string(m_id) + "/stat");
    std::string text((std::istreambuf_iterator<char>(stat)), {});
    const std::size_t nameEnd = text.rfind(')');
    if (nameEnd == std::string::npos) {
        return {};
    }
    // Fields 14, 15 and 24 in proc(5); the first field after the name is number 3.
    std::istringstream rest(text.substr(nameEnd + 1));
    std::vector<std::string> fields{std::istream_iterator<std::string>(rest), {}};
    const double ticks = std::stod(fields.at(11)) + std::stod(fields.at(12));
    const std::chrono::duration<double> seconds(ticks / static_cast<double>(sysconf(_SC_CLK_TCK)));
    return {.processorTime = std::chrono::duration_cast<core::Duration>(seconds),
            .residentBytes = std::stoul(fields.at(21)) * static_cast<std::size_t>(sysconf(_SC_PAGESIZE))};
}

std::string Process::output() const
{
    std::ifstream file(m_outputFile);
    return {std::istreambuf_iterator<char>(file), {}};
}

void Process::signal(int number) const
{
    if (!m_end) {
        ::kill(m_id, number);
    }
}

void Process::fail(const std::string &what) const
{
    constexpr std::size_t MaxShown = 4000;
    const std::string text = output();
    const std::string shown = text.size() > MaxShown ? text.substr(text.size() - MaxShown) : text;
    throw std::runtime_error(m_name + " (" + std::to_string(m_id) + "): " + what + "; output:\n" + shown);
}

bool waitUntil(const std::function<bool()> &condition, core::Duration timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

std::uint16_t findFreePort()
{
    // Below the range of ephemeral ports, so that no outgoing connection takes the port in the meantime.
    constexpr int LowestPort = 12'000;
    constexpr int HighestPort = 32'000;
    constexpr int MaxTries = 200;
    static std::mt19937 generator{std::random_device{}()};
    std::uniform_int_distribution<int> ports(LowestPort, HighestPort);
    for (int attempt = 0; attempt < MaxTries; ++attempt) {
        const auto port = static_cast<std::uint16_t>(ports(generator));
        if (isFree(SOCK_STREAM, port) && isFree(SOCK_DGRAM, port)) {
            return port;
        }
    }
    throw std::runtime_error("found no free port");
}

}
