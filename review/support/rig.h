// Stand-ins for the review: store, endpoints, clients and the processes of the project, on loopback addresses.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using std::chrono::milliseconds;

inline TimePoint startOfRun()
{
    static const TimePoint start = Clock::now();
    return start;
}

/** @return Seconds since the start of the run. */
inline double seconds(TimePoint time)
{
    return std::chrono::duration<double>(time - startOfRun()).count();
}

inline void sleepFor(milliseconds duration)
{
    std::this_thread::sleep_for(duration);
}

/** @brief Whether the disruption of the case is played; TROUBLE=0 turns it off. */
inline bool isTroubleOn()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/** @brief The processes that the run has started; they are killed when it ends, however it ends. */
class Children
{
public:
    static constexpr int Most = 64;

    static void add(pid_t process)
    {
        for (std::atomic<pid_t> &slot : slots()) {
            pid_t none = 0;
            if (slot.compare_exchange_strong(none, process)) {
                return;
            }
        }
    }
    static void remove(pid_t process)
    {
        for (std::atomic<pid_t> &slot : slots()) {
            pid_t expected = process;
            slot.compare_exchange_strong(expected, 0);
        }
    }
    static void killAll()
    {
        for (std::atomic<pid_t> &slot : slots()) {
            if (const pid_t process = slot.exchange(0)) {
                ::kill(process, SIGKILL);
                waitpid(process, nullptr, 0);
            }
        }
    }
    static void endOnSignal(int /*number*/)
    {
        killAll();
        _exit(2);
    }

private:
    static std::array<std::atomic<pid_t>, Most> &slots()
    {
        static std::array<std::atomic<pid_t>, Most> all{};
        return all;
    }
};

/** @brief The lines of record.txt. */
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
    {
    }
    void line(const std::string &text)
    {
        const std::scoped_lock lock(m_mutex);
        std::array<char, 32> time{};
        std::snprintf(time.data(), time.size(), "%9.4f ", seconds(Clock::now()));
        m_file << time.data() << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

/** @brief A message of HTTP/1.1. */
struct Message
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    [[nodiscard]] std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (key.size() == name.size() && strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
    [[nodiscard]] std::string method() const
    {
        return startLine.substr(0, startLine.find(' '));
    }
    [[nodiscard]] std::string target() const
    {
        const std::size_t begin = startLine.find(' ') + 1;
        return startLine.substr(begin, startLine.find(' ', begin) - begin);
    }
    [[nodiscard]] int status() const
    {
        const std::size_t begin = startLine.find(' ');
        return begin == std::string::npos ? 0 : std::atoi(startLine.c_str() + begin + 1);
    }
    /** @return The parameter of the query; `otherwise` if it is missing. */
    [[nodiscard]] long parameter(const std::string &name, long otherwise) const
    {
        const std::string text = target();
        for (const char *before : {"?", "&"}) {
            const std::size_t at = text.find(before + name + "=");
            if (at != std::string::npos) {
                return std::atol(text.c_str() + at + name.size() + 2);
            }
        }
        return otherwise;
    }
    [[nodiscard]] std::string text() const
    {
        std::string result = startLine + "\r\n";
        for (const auto &[key, value] : headers) {
            result += key + ": " + value + "\r\n";
        }
        return result + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
};

struct Address
{
    std::string ip;
    int port = 0;

    [[nodiscard]] std::string text() const
    {
        return ip + ":" + std::to_string(port);
    }
    [[nodiscard]] sockaddr_in socketAddress() const
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        return address;
    }
};

/** @brief One TCP connection with blocking reads and writes. */
class Connection
{
public:
    explicit Connection(int descriptor)
        : m_descriptor(descriptor)
    {
        const int on = 1;
        setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection()
    {
        close();
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /** @return Null if the connection is refused. */
    static std::unique_ptr<Connection> open(const Address &address)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in peer = address.socketAddress();
        if (connect(descriptor, reinterpret_cast<const sockaddr *>(&peer), sizeof peer) != 0) {
            ::close(descriptor);
            return nullptr;
        }
        return std::make_unique<Connection>(descriptor);
    }

    void close()
    {
        if (m_descriptor >= 0) {
            ::close(m_descriptor);
            m_descriptor = -1;
        }
    }
    bool write(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }
    /** @return Whether bytes, an end or an error can be read. */
    [[nodiscard]] bool isReadable(milliseconds wait) const
    {
        pollfd entry{m_descriptor, POLLIN | POLLRDHUP, 0};
        return poll(&entry, 1, static_cast<int>(wait.count())) > 0;
    }
    /** @return Whether the other side has closed. */
    [[nodiscard]] bool isClosed() const
    {
        char byte = 0;
        const ssize_t count = recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
    [[nodiscard]] bool hasBytes() const
    {
        return !m_buffer.empty();
    }
    /** @return False if the connection ended before the whole message was in, or the time is over. */
    bool read(Message &message, TimePoint deadline)
    {
        message = {};
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(deadline)) {
                return false;
            }
        }
        std::istringstream head(m_buffer.substr(0, end));
        std::string line;
        std::getline(head, line);
        message.startLine = withoutReturn(line);
        while (std::getline(head, line)) {
            line = withoutReturn(line);
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos) {
                const std::size_t value = line.find_first_not_of(' ', colon + 1);
                message.headers.emplace_back(line.substr(0, colon),
                                             value == std::string::npos ? std::string() : line.substr(value));
            }
        }
        m_buffer.erase(0, end + 4);
        const std::size_t length = std::strtoul(("0" + message.header("Content-Length")).c_str(), nullptr, 10);
        while (m_buffer.size() < length) {
            if (!fill(deadline)) {
                return false;
            }
        }
        message.body = m_buffer.substr(0, length);
        m_buffer.erase(0, length);
        return true;
    }
    bool read(Message &message)
    {
        return read(message, Clock::now() + std::chrono::seconds(60));
    }
    /** @return Some bytes; empty at the end. */
    std::string readBytes()
    {
        std::string bytes(65536, '\0');
        const ssize_t count = recv(m_descriptor, bytes.data(), bytes.size(), 0);
        bytes.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        return bytes;
    }
    void shutDownBoth() const
    {
        shutdown(m_descriptor, SHUT_RDWR);
    }
    void shutDownWriting() const
    {
        shutdown(m_descriptor, SHUT_WR);
    }

private:
    static std::string withoutReturn(std::string line)
    {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        return line;
    }
    bool fill(TimePoint deadline)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - Clock::now());
        if (left.count() <= 0 || !isReadable(left)) {
            return false;
        }
        const std::string bytes = readBytes();
        m_buffer += bytes;
        return !bytes.empty();
    }

    int m_descriptor;
    std::string m_buffer;
};

/** @brief Accepts connections and serves each one in a thread of its own. */
class Server
{
public:
    using Handler = std::function<void(Connection &)>;

    Server(const Address &address, Handler handler)
        : m_handler(std::move(handler))
        , m_descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int on = 1;
        setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in own = address.socketAddress();
        if (bind(m_descriptor, reinterpret_cast<const sockaddr *>(&own), sizeof own) != 0
            || listen(m_descriptor, 1024) != 0) {
            throw std::runtime_error("cannot listen at " + address.text());
        }
        std::thread([this] { accept(); }).detach();
    }
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

private:
    void accept()
    {
        for (;;) {
            const int descriptor = accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) {
                sleepFor(milliseconds(10));
                continue;
            }
            std::thread([this, connection = std::make_shared<Connection>(descriptor)] {
                m_handler(*connection);
            }).detach();
        }
    }

    Handler m_handler;
    int m_descriptor;
};

inline std::string bigEndian(std::uint64_t number, int bytes)
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        text.push_back(static_cast<char>((number >> static_cast<unsigned>(shift)) & 0xffU));
    }
    return text;
}

inline std::string base64(const std::string &bytes)
{
    static const std::string Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t i = 0; i < 3; ++i) {
            group = (group << 8U) | (at + i < bytes.size() ? static_cast<unsigned char>(bytes[at + i]) : 0U);
        }
        for (std::size_t i = 0; i < 4; ++i) {
            text.push_back(at + i <= bytes.size() ? Digits[(group >> (18 - 6 * i)) & 63U] : '=');
        }
    }
    return text;
}

/** @brief The metadata store of the platform: keyed topics with one partition. */
class Store
{
public:
    explicit Store(const Address &address)
        : m_server(address, [this](Connection &connection) { serve(connection); })
    {
    }
    /** @brief While it is busy, it answers 503 and does nothing. */
    void setBusy(bool isBusy)
    {
        m_isBusy = isBusy;
    }
    /** @brief Writes as the operator does. */
    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::scoped_lock lock(m_mutex);
        m_topics[topic].push_back({key, value});
        m_changed.notify_all();
    }

private:
    struct Entry
    {
        std::string key;
        std::string value;
    };

    void serve(Connection &connection)
    {
        Message request;
        while (connection.read(request)) {
            Message response;
            response.startLine = m_isBusy ? "HTTP/1.1 503 Service Unavailable" : "HTTP/1.1 200 OK";
            response.body = m_isBusy ? "{}" : answer(request, response);
            if (!connection.write(response.text())) {
                return;
            }
        }
    }
    static std::string topicOf(const Message &request)
    {
        const std::string target = request.target();
        const std::size_t begin = target.find("Topic=") + 6;
        return target.substr(begin, target.find('&', begin) - begin);
    }
    std::string answer(const Message &request, Message &response)
    {
        const std::string target = request.target();
        std::unique_lock lock(m_mutex);
        std::vector<Entry> &entries = m_topics[topicOf(request)];
        if (target.starts_with("/api/log-append")) {
            const auto length = static_cast<unsigned char>(request.body.at(4));
            entries.push_back({request.body.substr(5, length), request.body.substr(5 + length)});
            m_changed.notify_all();
            return R"({"Offset":)" + std::to_string(entries.size() - 1) + R"(,"End":)" + std::to_string(entries.size())
                   + "}";
        }
        if (target.starts_with("/api/log-newest")) {
            std::set<std::string> seen;
            std::string items;
            for (std::size_t at = entries.size(); at-- > 0;) {
                if (seen.insert(entries[at].key).second) {
                    items += std::string(items.empty() ? "" : ",") + R"({"Key":")" + entries[at].key + R"(","Value":")"
                             + base64(entries[at].value) + R"(","Offset":)" + std::to_string(at) + "}";
                }
            }
            return R"({"items":[)" + items + R"(],"HasMore":false,"End":)" + std::to_string(entries.size()) + "}";
        }
        if (target.starts_with("/api/log-read")) {
            const auto from = static_cast<std::size_t>(request.parameter("From", 0));
            m_changed.wait_for(
                lock, milliseconds(request.parameter("WaitMs", 0)), [&] { return entries.size() > from; });
            std::string bytes = bigEndian(entries.size(), 8) + bigEndian(0, 8);
            for (std::size_t at = from; at < entries.size(); ++at) {
                const std::string content = bigEndian(entries[at].key.size(), 1) + entries[at].key + entries[at].value;
                bytes += bigEndian(content.size(), 4) + content;
            }
            return bytes;
        }
        response.startLine = "HTTP/1.1 404 Not Found";
        return "{}";
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<Entry>> m_topics;
    std::atomic<bool> m_isBusy{false};
    Server m_server;
};

/** @brief What one machine of the deployment has. */
struct Machine
{
    std::string name;
    std::string zone;
    std::string service;
    std::string ip;
    int basePort = 0;

    [[nodiscard]] Address outbound() const
    {
        return {ip, basePort + 1};
    }
    [[nodiscard]] Address control() const
    {
        return {ip, basePort + 2};
    }
    [[nodiscard]] Address ready() const
    {
        return {ip, basePort + 3};
    }
    [[nodiscard]] Address application() const
    {
        return {ip, basePort + 4};
    }
};

/** @return Whether all ports of the machines from the base port on are free. */
inline bool isFree(const std::string &ip, int port)
{
    for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
        const int descriptor = socket(AF_INET, type | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = Address{ip, port}.socketAddress();
        const bool isBound = bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        close(descriptor);
        if (!isBound) {
            return false;
        }
    }
    return true;
}

inline std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
    return text;
}

inline std::string contentOf(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        throw std::runtime_error("cannot read " + path);
    }
    return {std::istreambuf_iterator<char>(file), {}};
}

/** @return What the client got; status 0 if the connection ended without a whole answer. */
struct Answer
{
    int status = 0;
    Message message;
    TimePoint sentAt;
    TimePoint endedAt;
};

struct Call
{
    std::string method = "GET";
    std::string target;
    std::string id;
    int deadlineMs = 5000;
    std::string key;
    std::string body;

    [[nodiscard]] std::string text() const
    {
        Message message;
        message.startLine = method + " " + target + " HTTP/1.1";
        message.headers = {{"Host", "review.example"},
                           {"Berylspring-Request-Id", id},
                           {"Berylspring-Deadline-Ms", std::to_string(deadlineMs)}};
        if (!key.empty()) {
            message.headers.emplace_back("Berylspring-Key", key);
        }
        message.body = body;
        return message.text();
    }
};

/** @brief Sends one request on a new connection and waits until its deadline and a second more. */
inline Answer send(const Address &to, const Call &call)
{
    Answer answer;
    answer.sentAt = Clock::now();
    const auto connection = Connection::open(to);
    if (connection && connection->write(call.text())
        && connection->read(answer.message, answer.sentAt + milliseconds(call.deadlineMs + 1000))) {
        answer.status = answer.message.status();
    }
    answer.endedAt = Clock::now();
    return answer;
}

/** @brief What an endpoint has seen of one request. */
struct Run
{
    std::string id;
    std::string target;
    std::string endpoint;
    std::string workspace;
    TimePoint arrivedAt;
    TimePoint startedAt;
    TimePoint endedAt;
    bool isStarted = false;
    bool isAnswered = false;
    bool isDropped = false; ///< The connection closed before the answer.
};

/**
 * @brief An application upstream. The query sets the work: `work_ms`, `calls` and `call_ms` (calls one after the other,
 * each of so much work, through the machine's own outbound address).
 */
class Endpoint
{
public:
    Endpoint(const Machine &machine, std::string id, int slots, Record &record)
        : m_machine(machine)
        , m_id(std::move(id))
        , m_slots(slots)
        , m_record(record)
        , m_server(machine.application(), [this](Connection &connection) { serve(connection); })
    {
    }

    /** @return The body of a heartbeat. */
    [[nodiscard]] std::string heartbeatBody(const std::string &state, int sequence) const
    {
        return R"({"Address":")" + m_machine.application().text() + R"(","Info":{"Service":")" + m_machine.service
               + R"(","Version":"v1","Zone":")" + m_machine.zone + R"(","Slots":)" + std::to_string(m_slots)
               + R"(},"Status":{"State":")" + state + R"(","Seq":)" + std::to_string(sequence)
               + R"(,"ColdRemainingMs":0},"born":)" + std::to_string(m_born) + "}";
    }
    /** @return Whether it was acknowledged within a second. */
    bool sendHeartbeat(const std::string &state, int sequence)
    {
        return control("PUT", heartbeatBody(state, sequence));
    }
    bool sendHeartbeat(const std::string &state)
    {
        return sendHeartbeat(state, ++m_sequence);
    }
    bool sendLeave()
    {
        return control("DELETE", {});
    }
    /** @brief Sends heartbeats until stopHeartbeats(). */
    void startHeartbeats(milliseconds interval)
    {
        m_isBeating = true;
        std::thread([this, interval] {
            while (m_isBeating) {
                {
                    const std::scoped_lock lock(m_beatMutex);
                    if (m_isBeating) {
                        sendHeartbeat(m_state);
                    }
                }
                sleepFor(interval);
            }
        }).detach();
    }
    void stopHeartbeats()
    {
        m_isBeating = false;
        const std::scoped_lock lock(m_beatMutex);
    }
    /** @brief Reports that it drains. @return When that was acknowledged; nothing if it was not. */
    std::optional<TimePoint> drain()
    {
        const std::scoped_lock lock(m_beatMutex);
        m_state = "draining";
        return sendHeartbeat(m_state) ? std::optional(Clock::now()) : std::nullopt;
    }
    [[nodiscard]] int sequence() const
    {
        return m_sequence;
    }
    [[nodiscard]] const std::string &id() const
    {
        return m_id;
    }
    [[nodiscard]] std::vector<Run> runs()
    {
        const std::scoped_lock lock(m_mutex);
        std::vector<Run> runs;
        for (const auto &run : m_runs) {
            runs.push_back(*run);
        }
        return runs;
    }
    /** @brief The calls that runs of this endpoint have made, with their answers. */
    [[nodiscard]] std::vector<std::pair<std::string, Answer>> calls()
    {
        const std::scoped_lock lock(m_mutex);
        return m_calls;
    }

private:
    bool control(const std::string &method, const std::string &body)
    {
        Message message;
        message.startLine = method + " /api/instances/" + m_id + " HTTP/1.1";
        message.headers = {{"Host", m_machine.control().text()}, {"Content-Type", "application/json"}};
        message.body = body;
        const auto connection = Connection::open(m_machine.control());
        Message response;
        return connection && connection->write(message.text())
               && connection->read(response, Clock::now() + std::chrono::seconds(1)) && response.status() / 100 == 2;
    }
    void serve(Connection &connection)
    {
        Message request;
        while (connection.read(request)) {
            const auto run = std::make_shared<Run>();
            run->id = request.header("Berylspring-Request-Id");
            run->target = request.target();
            run->endpoint = m_id;
            run->workspace = request.header("Berylspring-Tenant");
            run->arrivedAt = Clock::now();
            m_record.line(m_id + " got " + run->id + " " + run->target);
            const std::string expected = request.header("Berylspring-Target-Instance");
            if (!expected.empty() && expected != m_id) {
                if (!connection.write(response(421, *run, {{"Berylspring-Not-Executed", "1"}}))) {
                    return;
                }
                continue;
            }
            {
                const std::scoped_lock lock(m_mutex);
                m_runs.push_back(run);
            }
            const long deadline = std::atol(("0" + request.header("Berylspring-Deadline-Ms")).c_str());
            const bool isComplete = runOne(connection, request, *run, run->arrivedAt + milliseconds(deadline));
            const std::scoped_lock lock(m_mutex);
            run->endedAt = Clock::now();
            if (!isComplete) {
                run->isDropped = true;
                m_record.line(m_id + " dropped " + run->id + ", its connection closed");
                return;
            }
            run->isAnswered = true;
            m_record.line(m_id + " answered " + run->id);
        }
    }
    /** @return False if the connection has closed. */
    bool runOne(Connection &connection, const Message &request, Run &run, TimePoint deadline)
    {
        while (!takeSlot()) {
            if (connection.isClosed()) {
                return false;
            }
            if (Clock::now() >= deadline) {
                return connection.write(response(503, run, {{"Berylspring-Not-Executed", "1"}}));
            }
            sleepFor(milliseconds(1));
        }
        {
            const std::scoped_lock lock(m_mutex);
            run.isStarted = true;
            run.startedAt = Clock::now();
        }
        const bool isComplete = work(connection, request, run, deadline);
        ++m_free;
        return isComplete;
    }
    bool takeSlot()
    {
        int free = m_free;
        while (free > 0) {
            if (m_free.compare_exchange_weak(free, free - 1)) {
                return true;
            }
        }
        return false;
    }
    bool work(Connection &connection, const Message &request, Run &run, TimePoint deadline)
    {
        const long calls = request.parameter("calls", 0);
        for (long number = 0; number < calls; ++number) {
            Call call{.target = "/inner/x?work_ms=" + std::to_string(request.parameter("call_ms", 100)),
                      .id = run.id + ".c" + std::to_string(number),
                      .deadlineMs = 2500};
            const auto left = std::chrono::duration_cast<milliseconds>(deadline - Clock::now()).count();
            call.deadlineMs = static_cast<int>(std::min<long>(call.deadlineMs, left));
            if (connection.isClosed()) {
                return false;
            }
            if (left <= 0) {
                return connection.write(response(504, run, {}));
            }
            m_record.line(m_id + " calls " + call.id);
            const Answer answer = send(m_machine.outbound(), call);
            m_record.line(m_id + " got " + std::to_string(answer.status) + " for its call " + call.id);
            {
                const std::scoped_lock lock(m_mutex);
                m_calls.emplace_back(call.id, answer);
            }
            if (answer.status != 200) {
                return connection.write(response(500, run, {}));
            }
        }
        const TimePoint end = Clock::now() + milliseconds(request.parameter("work_ms", 5));
        while (Clock::now() < std::min(end, deadline)) {
            if (connection.isClosed()) {
                return false;
            }
            sleepFor(milliseconds(1));
        }
        return connection.write(response(Clock::now() >= deadline ? 504 : 200, run, {}));
    }
    [[nodiscard]] static std::string
    response(int status, const Run &run, std::vector<std::pair<std::string, std::string>> headers)
    {
        Message message;
        message.startLine = "HTTP/1.1 " + std::to_string(status) + " X";
        message.headers = std::move(headers);
        message.headers.emplace_back("Berylspring-Request-Id", run.id);
        message.headers.emplace_back("Keep-Alive", "timeout=10");
        if (status != 421 && status != 503) {
            message.headers.emplace_back("Berylspring-Response-Stamp", "stamp." + run.id);
        }
        message.body = "body of " + run.id;
        return message.text();
    }

    Machine m_machine;
    std::string m_id;
    int m_slots;
    Record &m_record;
    std::uint64_t m_born = static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    std::atomic<int> m_free{m_slots};
    std::atomic<int> m_sequence{0};
    std::atomic<bool> m_isBeating{false};
    std::mutex m_beatMutex;
    std::string m_state = "ready";
    std::mutex m_mutex;
    std::vector<std::shared_ptr<Run>> m_runs;
    std::vector<std::pair<std::string, Answer>> m_calls;
    Server m_server;
};

/** @brief Processes of the project, started as the deploy file says, with settings from its template. */
class Deployment
{
public:
    Deployment(const std::vector<std::pair<std::string, std::string>> &zonesAndServices, Record &record)
        : m_record(record)
        , m_directory(std::filesystem::temp_directory_path() / ("review-" + std::to_string(getpid())))
    {
        std::filesystem::create_directories(m_directory);
        std::mt19937 random(std::random_device{}());
        const auto machines = static_cast<int>(zonesAndServices.size());
        const int network = static_cast<int>(random() % 200) + 20;
        int base = 0;
        do {
            base = 12000 + static_cast<int>(random() % 18000);
        } while (!areFree(network, machines, base));
        for (int number = 0; number < machines; ++number) {
            const auto &[zone, service] = zonesAndServices[static_cast<std::size_t>(number)];
            m_machines.push_back({.name = "sidecar-" + std::to_string(number + 1),
                                  .zone = zone,
                                  .service = service,
                                  .ip = ipOf(network, number + 1),
                                  .basePort = base});
        }
        store = std::make_unique<Store>(Address{ipOf(network, 250), base});
        m_storeAddress = {ipOf(network, 250), base};
    }
    ~Deployment()
    {
        Children::killAll();
        std::error_code ignored;
        std::filesystem::remove_all(m_directory, ignored);
    }
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    [[nodiscard]] const Machine &machine(std::size_t number) const
    {
        return m_machines.at(number);
    }
    /** @return Process id of a machine. */
    [[nodiscard]] pid_t process(std::size_t number) const
    {
        return m_processes.at(m_machines.at(number).name);
    }
    void startAll()
    {
        for (const Machine &machine : m_machines) {
            start(machine, true);
        }
    }
    void start(const Machine &machine, bool isFirstStart)
    {
        const std::string settings = writeSettings(machine, isFirstStart);
        const std::string log = (m_directory / (machine.name + ".log")).string();
        std::vector<std::string> words = command();
        words.back() = settings;
        std::vector<char *> arguments;
        for (std::string &word : words) {
            arguments.push_back(word.data());
        }
        arguments.push_back(nullptr);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, 1, 2);
        pid_t process = 0;
        // As on the platform, a process gets no other variables of its caller.
        std::vector<std::string> variables{"MALLOC_ARENA_MAX=1"};
        for (const char *name : {"PATH", "HOME", "LANG"}) {
            if (const char *value = std::getenv(name)) {
                variables.push_back(std::string(name) + "=" + value);
            }
        }
        std::vector<char *> environment;
        for (std::string &variable : variables) {
            environment.push_back(variable.data());
        }
        environment.push_back(nullptr);
        if (posix_spawn(&process, arguments[0], &actions, nullptr, arguments.data(), environment.data()) != 0) {
            throw std::runtime_error("cannot start " + words[0] + "; was it built?");
        }
        posix_spawn_file_actions_destroy(&actions);
        Children::add(process);
        m_processes[machine.name] = process;
        m_record.line("started " + machine.name + " at " + machine.outbound().text());
    }
    void signal(const Machine &machine, int number)
    {
        ::kill(m_processes.at(machine.name), number);
        m_record.line("signal " + std::to_string(number) + " to " + machine.name);
    }
    /** @return Whether the process ended in this time. */
    bool waitForEnd(const Machine &machine, milliseconds longest)
    {
        const TimePoint until = Clock::now() + longest;
        while (Clock::now() < until) {
            int status = 0;
            if (waitpid(m_processes.at(machine.name), &status, WNOHANG) > 0) {
                Children::remove(m_processes.at(machine.name));
                m_processes.erase(machine.name);
                m_record.line(machine.name + " ended, wait status " + std::to_string(status));
                return true;
            }
            sleepFor(milliseconds(5));
        }
        return false;
    }
    static bool isReady(const Machine &machine)
    {
        return send(machine.ready(), {.target = "/api/ready", .id = "ready", .deadlineMs = 0}).status == 200;
    }
    /** @brief Ends the case with status 2 if a machine is not ready in time. */
    void waitUntilReady()
    {
        const TimePoint until = Clock::now() + std::chrono::seconds(25);
        for (const Machine &machine : m_machines) {
            while (!isReady(machine)) {
                if (Clock::now() > until) {
                    throw std::runtime_error(machine.name + " is not ready");
                }
                sleepFor(milliseconds(50));
            }
        }
        m_record.line("all machines are ready");
    }
    std::unique_ptr<Store> store;

private:
    static std::string ipOf(int network, int number)
    {
        return "127.77." + std::to_string(network) + "." + std::to_string(number);
    }
    static bool areFree(int network, int machines, int base)
    {
        for (int number = 1; number <= machines; ++number) {
            for (int port = base; port < base + 5; ++port) {
                if (!isFree(ipOf(network, number), port)) {
                    return false;
                }
            }
        }
        return isFree(ipOf(network, 250), base);
    }
    /** @return The words of `run` in the deploy file. */
    static std::vector<std::string> command()
    {
        const std::string deploy = contentOf("deploy/system.toml");
        const std::size_t begin = deploy.find("run = \"") + 7;
        std::istringstream line(deploy.substr(begin, deploy.find('"', begin) - begin));
        std::vector<std::string> words;
        for (std::string word; line >> word;) {
            words.push_back(word);
        }
        return words;
    }
    std::string writeSettings(const Machine &machine, bool isFirstStart)
    {
        std::set<std::string> zones;
        for (const Machine &other : m_machines) {
            zones.insert(other.zone);
        }
        std::string zoneList;
        for (const std::string &zone : zones) {
            zoneList += (zoneList.empty() ? "" : ",") + zone;
        }
        std::string text = contentOf("deploy/node.ini.template");
        const std::vector<std::pair<std::string, std::string>> fields{
            {"{{#Zones}}{{@}}{{,}}{{/Zones}}", zoneList},
            {"{{#FirstStart}}on{{/FirstStart}}{{^FirstStart}}off{{/FirstStart}}", isFirstStart ? "on" : "off"},
            {"{{Node}}", machine.name},
            {"{{Zone}}", machine.zone},
            {"{{Ip}}", machine.ip},
            {"{{Service}}", machine.service},
            {"{{Listen.Outbound}}", machine.outbound().text()},
            {"{{Listen.Control}}", machine.control().text()},
            {"{{Listen.Ready}}", machine.ready().text()},
            {"{{PortRange.0}}", std::to_string(machine.basePort)},
            {"{{Platform.Address}}", m_storeAddress.text()},
            {"{{Bounds.GraceS}}", "6"},
            {"{{Bounds.DrainMs}}", "2000"},
            {"{{Bounds.ConfigApplyMs}}", "2000"},
            {"{{Bounds.RevokeMs}}", "5000"},
            {"{{Bounds.QuotaSlack}}", "20"}};
        for (const auto &[name, value] : fields) {
            text = replaced(text, name, value);
        }
        if (text.find("{{") != std::string::npos) {
            throw std::runtime_error("the template has fields that this script does not know");
        }
        std::string path = (m_directory / (machine.name + ".ini")).string();
        std::ofstream(path) << text;
        return path;
    }

    Record &m_record;
    std::filesystem::path m_directory;
    std::vector<Machine> m_machines;
    Address m_storeAddress;
    std::map<std::string, pid_t> m_processes;
};

/** @brief One route of a configuration. */
struct RouteText
{
    std::string name;
    std::string prefix;
    std::string service;
    std::string kind = "safe";
    int timeoutMs = 5000;
    bool isPublic = false;
};

inline std::string configuration(int version, const std::vector<RouteText> &routes, const std::string &tenants = "[]")
{
    std::string paths;
    std::string services;
    std::set<std::string> names;
    for (const RouteText &route : routes) {
        paths += std::string(paths.empty() ? "" : ",") + R"({"Name":")" + route.name + R"(","PathPrefix":")"
                 + route.prefix + R"(","Kind":")" + route.kind + R"(","TimeoutMs":)" + std::to_string(route.timeoutMs)
                 + R"(,"TargetLatencyMs":1500,"Priority":1,"Service":")" + route.service
                 + R"(","MaxAttempts":2,"Public":)" + (route.isPublic ? "true" : "false") + "}";
        if (names.insert(route.service).second) {
            services += std::string(services.empty() ? "" : ",") + R"({"Name":")" + route.service
                        + R"(","HealthPath":"/health","MaxConnections":472,"Protocol":"h1","Tls":false})";
        }
    }
    return R"({"Version":)" + std::to_string(version) + R"(,"Services":[)" + services
           + R"(],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},)"
           + R"("Tenants":)" + tenants + R"(,"VirtualHosts":[{"Host":"review.example","Paths":[)" + paths + "]}]}";
}

constexpr milliseconds LongestRun(110'000);

/** @brief Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
inline int runCase(int argc, char **argv, const std::function<bool(Record &)> &isRuleBroken)
{
    ::signal(SIGPIPE, SIG_IGN);
    ::signal(SIGTERM, Children::endOnSignal);
    ::signal(SIGINT, Children::endOnSignal);
    startOfRun();
    Record record(argc > 1 ? argv[1] : "record.txt");
    std::thread([&record] {
        sleepFor(LongestRun);
        record.line("the case took too long");
        Children::endOnSignal(0);
    }).detach();
    int status = 2;
    try {
        status = isRuleBroken(record) ? 1 : 0;
    } catch (const std::exception &error) {
        record.line(std::string("the case could not run: ") + error.what());
    }
    record.line("exit status " + std::to_string(status));
    std::cout << "exit status " << status << std::endl;
    Children::killAll();
    // Threads of the stand-ins still run.
    std::_Exit(status);
}

}
