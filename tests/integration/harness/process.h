#pragma once

#include "berylspring/core/time.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace berylspring::test {

/** @brief Timeout for events that must happen; far above the expected times, so that tests pass on a busy machine. */
inline constexpr auto DefaultTimeout = std::chrono::seconds(30);

/** @brief A directory that the destructor removes with its content, unless BERYLSPRING_KEEP_FILES is set. */
class TemporaryDirectory
{
public:
    TemporaryDirectory();
    ~TemporaryDirectory();
    TemporaryDirectory(const TemporaryDirectory &) = delete;
    TemporaryDirectory &operator=(const TemporaryDirectory &) = delete;

    [[nodiscard]] std::string file(const std::string &name) const
    {
        return m_path + "/" + name;
    }

private:
    std::string m_path;
};

/** @brief How a process ended. */
struct ProcessEnd
{
    int exitStatus = -1; ///< -1 if a signal ended it.
    int signal = 0;
    [[nodiscard]] bool operator==(const ProcessEnd &) const = default;
};

/** @brief Processor time and memory of a process, from /proc. */
struct ProcessUsage
{
    core::Duration processorTime{};
    std::size_t residentBytes = 0;
    [[nodiscard]] bool operator==(const ProcessUsage &) const = default;
};

/**
 * @brief A child process. The destructor kills and reaps it, also after a failed check; it is killed as well when the
 * test program exits. Functions throw std::runtime_error if the event that they wait for does not happen.
 */
class Process
{
public:
    /**
     * @param name Name in error messages.
     * @param arguments Path of the program, then its arguments.
     * @param outputFile Receives standard output and standard error.
     */
    Process(std::string name, const std::vector<std::string> &arguments, std::string outputFile);
    ~Process();
    Process(Process &&other) noexcept;
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;
    Process &operator=(Process &&) = delete;

    /** @return The rest of the first output line that begins with the prefix. */
    std::string waitForLine(const std::string &prefix, core::Duration timeout = DefaultTimeout);
    /** @return The port of the line "listening NAME PORT", or of "listening PORT" for an empty name. */
    std::uint16_t waitForPort(const std::string &name = {}, core::Duration timeout = DefaultTimeout);

    void terminate() const;
    void kill() const;
    /** @brief Suspends the whole process (SIGSTOP). */
    void pause() const;
    void resume() const;
    /** @brief Waits for the end of the process and reaps it. */
    ProcessEnd wait(core::Duration timeout = DefaultTimeout);
    /** @return How the process ended, or nothing while it runs. */
    std::optional<ProcessEnd> poll();

    [[nodiscard]] ProcessUsage usage() const;
    [[nodiscard]] std::string output() const;
    [[nodiscard]] pid_t id() const noexcept
    {
        return m_id;
    }
    [[nodiscard]] const std::string &name() const noexcept
    {
        return m_name;
    }

private:
    void signal(int number) const;
    [[noreturn]] void fail(const std::string &what) const;

    std::string m_name;
    std::string m_outputFile;
    pid_t m_id = -1;
    std::optional<ProcessEnd> m_end;
};

/** @brief Polls a condition every 10 ms until it holds. @return False on timeout. */
bool waitUntil(const std::function<bool()> &condition, core::Duration timeout = DefaultTimeout);

/** @return A port of 127.0.0.1 that was free for TCP and UDP when probed. It is not held. */
[[nodiscard]] std::uint16_t findFreePort();

}
