#pragma once

// Stand-ins of the second review: the platform's store, an upstream, clients and the starter of berylspringd.
// They use nothing but the system's C and C++ libraries.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/** @brief Exit statuses of a case. */
enum ExitStatus { Held = 0, Broken = 1, CouldNotRun = 2 };

inline std::int64_t nowMs()
{
    static const Clock::time_point start = Clock::now();
    return std::chrono::duration_cast<milliseconds>(Clock::now() - start).count();
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline void sleepMs(std::int64_t ms)
{
    if (ms > 0) {
        std::this_thread::sleep_for(milliseconds(ms));
    }
}

inline void sleepUntil(std::int64_t ms)
{
    sleepMs(ms - nowMs());
}

/** @brief Lines of record.txt, each with the milliseconds since the start. */
class Record
{
public:
    static Record &instance()
    {
        static Record record;
        return record;
    }
    void open(const std::string &path)
    {
        const std::scoped_lock lock(m_mutex);
        m_file.open(path, std::ios::trunc);
    }
    void write(const std::string &line)
    {
        const std::scoped_lock lock(m_mutex);
        m_file << nowMs() << " " << line << "\n" << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

inline void note(const std::string &line)
{
    Record::instance().write(line);
}

inline bool isTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::string_view(text) != "0";
}

// ---------------------------------------------------------------------------------------------------------- sockets

inline sockaddr_in addressOf(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/** @return A port of the address that is free for TCP and UDP. */
inline std::uint16_t freePort(const std::string &ip)
{
    static std::set<std::uint16_t> given;
    for (int attempt = 0; attempt < 200; ++attempt) {
        const int stream = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int datagram = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = addressOf(ip, 0);
        socklen_t length = sizeof(address);
        bool isFree = ::bind(stream, reinterpret_cast<sockaddr *>(&address), length) == 0;
        ::getsockname(stream, reinterpret_cast<sockaddr *>(&address), &length);
        isFree = isFree && ::bind(datagram, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
        ::close(stream);
        ::close(datagram);
        const std::uint16_t port = ntohs(address.sin_port);
        if (isFree && given.insert(port).second) {
            return port;
        }
    }
    std::fprintf(stderr, "no free port\n");
    std::exit(CouldNotRun);
}

inline int connectTo(const std::string &ip, std::uint16_t port, int timeoutMs)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address = addressOf(ip, port);
    if (::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0 && errno != EINPROGRESS) {
        ::close(fd);
        return -1;
    }
    pollfd wait{fd, POLLOUT, 0};
    int error = 0;
    socklen_t length = sizeof(error);
    const bool isReady = ::poll(&wait, 1, timeoutMs) == 1;
    ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length);
    if (!isReady || error != 0) {
        ::close(fd);
        return -1;
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    return fd;
}

inline bool sendAll(int fd, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t count = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

/** @return Bytes read; 0 at the end; -1 on an error or after the timeout. */
inline ssize_t receiveSome(int fd, std::string &buffer, int timeoutMs)
{
    pollfd wait{fd, POLLIN, 0};
    if (::poll(&wait, 1, timeoutMs) != 1) {
        return -1;
    }
    char bytes[65536];
    const ssize_t count = ::recv(fd, bytes, sizeof(bytes), 0);
    if (count > 0) {
        buffer.append(bytes, static_cast<std::size_t>(count));
    }
    return count;
}

// ------------------------------------------------------------------------------------------------------------- HTTP

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

struct Message
{
    std::string first; ///< Request line or status line.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;

    [[nodiscard]] std::string header(const std::string &name) const
    {
        const auto found = headers.find(lower(name));
        return found == headers.end() ? std::string() : found->second;
    }
    [[nodiscard]] std::string method() const
    {
        return first.substr(0, first.find(' '));
    }
    [[nodiscard]] std::string target() const
    {
        const std::size_t begin = first.find(' ') + 1;
        return first.substr(begin, first.find(' ', begin) - begin);
    }
    [[nodiscard]] int status() const
    {
        return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
    }
};

enum class ReadResult { Complete, Closed, TimedOut, CutShort };

/** @brief Reads one message; `buffer` keeps what follows it. */
inline ReadResult readMessage(int fd, std::string &buffer, Message &message, std::int64_t untilMs, bool isAnswer)
{
    const auto more = [&] {
        const std::int64_t left = untilMs - nowMs();
        if (left <= 0) {
            return ReadResult::TimedOut;
        }
        const ssize_t count = receiveSome(fd, buffer, static_cast<int>(left));
        if (count > 0) {
            return ReadResult::Complete;
        }
        return count == 0 ? ReadResult::Closed : (nowMs() >= untilMs ? ReadResult::TimedOut : ReadResult::Closed);
    };
    std::size_t end = std::string::npos;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        const ReadResult result = more();
        if (result != ReadResult::Complete) {
            return result == ReadResult::Closed && !buffer.empty() ? ReadResult::CutShort : result;
        }
    }
    std::istringstream head(buffer.substr(0, end));
    std::string line;
    message = {};
    while (std::getline(head, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        if (message.first.empty()) {
            message.first = line;
            continue;
        }
        const std::size_t colon = line.find(':');
        std::string value = colon == std::string::npos ? std::string() : line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(" \t") == std::string::npos ? 0 : value.find_first_not_of(" \t"));
        message.headers[lower(line.substr(0, colon))] = value;
    }
    buffer.erase(0, end + 4);
    const std::string length = message.header("Content-Length");
    if (length.empty() && isAnswer && message.status() != 204) {
        ReadResult result = ReadResult::Complete;
        while (result == ReadResult::Complete) {
            result = more();
        }
        message.body = std::exchange(buffer, {});
        return result == ReadResult::Closed ? ReadResult::Complete : result;
    }
    const std::size_t size = length.empty() ? 0 : std::strtoull(length.c_str(), nullptr, 10);
    while (buffer.size() < size) {
        const ReadResult result = more();
        if (result != ReadResult::Complete) {
            return result == ReadResult::Closed ? ReadResult::CutShort : result;
        }
    }
    message.body = buffer.substr(0, size);
    buffer.erase(0, size);
    return ReadResult::Complete;
}

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string answerText(int status, const Headers &headers, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** @brief HTTP server with a thread for each connection. The handler returns false to close the connection. */
class HttpServer
{
public:
    using Handler = std::function<bool(int fd, const Message &request)>;

    HttpServer(const std::string &ip, std::uint16_t port, Handler handler)
        : m_handler(std::move(handler))
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
        sockaddr_in address = addressOf(ip, port);
        if (::bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0
            || ::listen(m_listener, 512) != 0) {
            std::fprintf(stderr, "cannot listen on %s:%u\n", ip.c_str(), port);
            std::exit(CouldNotRun);
        }
        m_accepting = std::thread([this] { accept(); });
    }
    ~HttpServer()
    {
        stop();
    }
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** @brief Closes the listening socket and all connections, as the end of a process does. */
    void stop()
    {
        if (m_isStopped.exchange(true)) {
            return;
        }
        ::shutdown(m_listener, SHUT_RDWR);
        m_accepting.join();
        ::close(m_listener);
        std::vector<std::thread> threads;
        {
            const std::scoped_lock lock(m_mutex);
            for (const int fd : m_open) {
                ::shutdown(fd, SHUT_RDWR);
            }
            threads.swap(m_threads);
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
    }

private:
    void accept()
    {
        while (!m_isStopped) {
            const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (m_isStopped) {
                    return;
                }
                sleepMs(5);
                continue;
            }
            const int one = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
            const std::scoped_lock lock(m_mutex);
            m_open.insert(fd);
            m_threads.emplace_back([this, fd] { serve(fd); });
        }
    }
    void serve(int fd)
    {
        std::string buffer;
        Message request;
        while (!m_isStopped && readMessage(fd, buffer, request, nowMs() + 600'000, false) == ReadResult::Complete) {
            if (!m_handler(fd, request)) {
                break;
            }
        }
        const std::scoped_lock lock(m_mutex);
        m_open.erase(fd);
        ::close(fd);
    }

    Handler m_handler;
    int m_listener = -1;
    std::atomic<bool> m_isStopped{false};
    std::thread m_accepting;
    std::mutex m_mutex;
    std::set<int> m_open;
    std::vector<std::thread> m_threads;
};

/** @brief What a client got for one attempt. */
struct Answer
{
    ReadResult result = ReadResult::Closed;
    int status = 0; ///< 0: no complete answer.
    Message message;
};

struct Request
{
    std::string method = "GET";
    std::string target;
    std::string host;
    std::string id;
    std::string key;
    std::string cookie; ///< Value of a header field that the system only passes on.
    std::string body;
    int deadlineMs = 5000;
};

inline std::string textOf(const Request &request, bool isLast)
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\nHost: " + request.host
                       + "\r\nBerylspring-Request-Id: " + request.id
                       + "\r\nBerylspring-Deadline-Ms: " + std::to_string(request.deadlineMs) + "\r\n";
    if (!request.key.empty()) {
        text += "Berylspring-Key: " + request.key + "\r\n";
    }
    if (isLast) {
        text += "Connection: close\r\n";
    }
    if (!request.cookie.empty()) {
        text += "Cookie: " + request.cookie + "\r\n";
    }
    if (request.method != "GET") {
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    return text + "\r\n" + request.body;
}

/** @brief One attempt of a client on a new connection, which waits half a second beyond its deadline. */
inline Answer send(const std::string &ip, std::uint16_t port, const Request &request)
{
    Answer answer;
    const std::int64_t until = nowMs() + request.deadlineMs + 500;
    const int fd = connectTo(ip, port, 1000);
    if (fd < 0) {
        return answer;
    }
    std::string buffer;
    if (sendAll(fd, textOf(request, true))) {
        answer.result = readMessage(fd, buffer, answer.message, until, true);
        answer.status = answer.result == ReadResult::Complete ? answer.message.status() : 0;
    }
    ::close(fd);
    return answer;
}

// ------------------------------------------------------------------------------------------------------------ store

/** @brief The platform's store: keyed topics with one partition each, as PROTOCOL.md describes them. */
class Store
{
public:
    Store(const std::string &ip, std::uint16_t port)
        : m_ip(ip)
        , m_port(port)
        , m_server(ip, port, [this](int fd, const Message &request) { return answer(fd, request); })
    {
    }
    ~Store()
    {
        stop();
    }
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    [[nodiscard]] std::string address() const
    {
        return m_ip + ":" + std::to_string(m_port);
    }
    /** @brief Writes a record as the operator does; the return is the acknowledgement. */
    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::scoped_lock lock(m_mutex);
        m_topics[topic].push_back({key, value});
    }
    /** @brief While set, the store is down and answers nothing; calls that arrive meanwhile are not done. */
    void setSilent(bool isSilent)
    {
        note(isSilent ? "the store is down (silent)" : "the store is back");
        m_isSilent = isSilent;
    }
    void stop()
    {
        m_isStopping = true;
        m_server.stop();
    }

private:
    using Entry = std::pair<std::string, std::string>;

    static std::string parameter(const std::string &target, const std::string &name)
    {
        const std::size_t query = target.find('?');
        std::istringstream parts(query == std::string::npos ? std::string() : target.substr(query + 1));
        std::string part;
        while (std::getline(parts, part, '&')) {
            if (part.starts_with(name + "=")) {
                return part.substr(name.size() + 1);
            }
        }
        return {};
    }
    static std::string bigEndian(std::uint64_t number, int bytes)
    {
        std::string text;
        for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
            text.push_back(static_cast<char>((number >> static_cast<unsigned>(shift)) & 0xffU));
        }
        return text;
    }
    static std::string base64(const std::string &bytes)
    {
        static const char *const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            std::uint32_t group = 0;
            for (std::size_t k = 0; k < 3; ++k) {
                group = (group << 8U) | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
            }
            for (std::size_t k = 0; k < 4; ++k) {
                const bool isPadding = i + k > bytes.size();
                text.push_back(isPadding ? '=' : digits[(group >> (18 - 6 * k)) & 63U]);
            }
        }
        return text;
    }
    static std::string quoted(const std::string &text)
    {
        std::string result = "\"";
        for (const char c : text) {
            if (c == '"' || c == '\\') {
                result.push_back('\\');
            }
            result.push_back(c);
        }
        return result + "\"";
    }
    bool answer(int fd, const Message &request)
    {
        const std::string target = request.target();
        const std::string topic = parameter(target, "Topic");
        const std::string path = target.substr(0, target.find('?'));
        sleepMs(4);
        if (m_isSilent) {
            while (m_isSilent && !m_isStopping) {
                sleepMs(5);
            }
            return false; // A connection on which an answer is lost returns nothing further.
        }
        if (path == "/api/log-append") {
            return append(fd, topic, request.body);
        }
        if (path == "/api/log-read") {
            return read(fd, topic, target);
        }
        if (path == "/api/log-newest") {
            return newest(fd, topic);
        }
        return sendAll(fd, answerText(404, {}, "{}"));
    }
    bool append(int fd, const std::string &topic, const std::string &body)
    {
        std::uint64_t end = 0;
        {
            const std::scoped_lock lock(m_mutex);
            std::size_t at = 0;
            while (at + 5 <= body.size()) {
                std::uint32_t length = 0;
                for (std::size_t i = 0; i < 4; ++i) {
                    length = (length << 8U) | static_cast<unsigned char>(body[at + i]);
                }
                const std::size_t keyLength = static_cast<unsigned char>(body[at + 4]);
                m_topics[topic].push_back(
                    {body.substr(at + 5, keyLength), body.substr(at + 5 + keyLength, length - 1 - keyLength)});
                at += 4 + length;
            }
            end = m_topics[topic].size();
        }
        return sendAll(
            fd,
            answerText(200,
                       {{"Content-Type", "application/json"}},
                       R"({"Offset":)" + std::to_string(end - 1) + R"(,"End":)" + std::to_string(end) + "}"));
    }
    bool read(int fd, const std::string &topic, const std::string &target)
    {
        const std::uint64_t from = std::strtoull(parameter(target, "From").c_str(), nullptr, 10);
        const std::int64_t until = nowMs() + std::atoll(parameter(target, "WaitMs").c_str());
        while (true) {
            {
                const std::scoped_lock lock(m_mutex);
                const std::vector<Entry> &entries = m_topics[topic];
                if (m_isSilent) {
                    return false;
                }
                if (from < entries.size() || nowMs() >= until || m_isStopping) {
                    std::string body = bigEndian(entries.size(), 8) + bigEndian(0, 8);
                    for (std::size_t i = from; i < entries.size(); ++i) {
                        const std::string content =
                            bigEndian(entries[i].first.size(), 1) + entries[i].first + entries[i].second;
                        body += bigEndian(content.size(), 4) + content;
                    }
                    return sendAll(fd, answerText(200, {}, body));
                }
            }
            sleepMs(5);
        }
    }
    bool newest(int fd, const std::string &topic)
    {
        std::string items;
        std::uint64_t end = 0;
        {
            const std::scoped_lock lock(m_mutex);
            const std::vector<Entry> &entries = m_topics[topic];
            end = entries.size();
            std::map<std::string, std::size_t> last;
            for (std::size_t i = 0; i < entries.size(); ++i) {
                last[entries[i].first] = i;
            }
            for (const auto &[key, offset] : last) {
                if (entries[offset].second.empty()) {
                    continue;
                }
                items += (items.empty() ? "" : ",");
                items += R"({"Key":)" + quoted(key) + R"(,"Value":")" + base64(entries[offset].second)
                         + R"(","Offset":)" + std::to_string(offset) + "}";
            }
        }
        return sendAll(fd,
                       answerText(200,
                                  {{"Content-Type", "application/json"}},
                                  R"({"items":[)" + items + R"(],"HasMore":false,"End":)" + std::to_string(end) + "}"));
    }

    std::string m_ip;
    std::uint16_t m_port;
    std::mutex m_mutex;
    std::atomic<bool> m_isStopping{false};
    std::atomic<bool> m_isSilent{false};
    std::map<std::string, std::vector<Entry>> m_topics;
    HttpServer m_server;
};

// ------------------------------------------------------------------------------------------------------------ nodes

/** @brief Figures of a small deployment, as the settings of the platform have them. */
struct Deployment
{
    std::vector<std::string> zones{"addis-bole"};
    int graceS = 6;
    int drainMs = 2000;
    int configApplyMs = 2000;
    int revokeMs = 5000;
    int quotaSlack = 20;
};

/** @brief One machine with its own loopback address; starts berylspringd with the command of the deploy file. */
class Machine
{
public:
    Machine(std::string name,
            std::string ip,
            std::string zone,
            std::string service,
            std::string store,
            Deployment deployment,
            std::string directory)
        : m_name(std::move(name))
        , m_ip(std::move(ip))
        , m_zone(std::move(zone))
        , m_service(std::move(service))
        , m_store(std::move(store))
        , m_deployment(std::move(deployment))
        , m_directory(std::move(directory))
        , caller(freePort(m_ip))
        , control(freePort(m_ip))
        , ready(freePort(m_ip))
        , peer(freePort(m_ip))
    {
    }
    ~Machine()
    {
        kill(SIGKILL);
        wait(2000);
    }
    Machine(const Machine &) = delete;
    Machine &operator=(const Machine &) = delete;

    [[nodiscard]] const std::string &name() const
    {
        return m_name;
    }
    [[nodiscard]] const std::string &ip() const
    {
        return m_ip;
    }
    [[nodiscard]] const std::string &service() const
    {
        return m_service;
    }
    [[nodiscard]] const std::string &zone() const
    {
        return m_zone;
    }
    [[nodiscard]] pid_t pid() const
    {
        return m_pid;
    }

    void start(bool isFirstStart)
    {
        const std::string settings = m_directory + "/" + m_name + ".ini";
        std::ofstream(settings) << render(isFirstStart);
        const std::string log = m_directory + "/" + m_name + ".log";
        m_pid = ::fork();
        if (m_pid == 0) {
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::setenv("BERYLSPRING_CONFIG", settings.c_str(), 1);
            ::setenv("BERYLSPRING_NODE_THREADS", "1", 1);
            ::setenv("BERYLSPRING_BOUNDS_COLD_EXCESS", "", 1);
            ::setenv("BERYLSPRING_BOUNDS_COLD_SLACK_REQUESTS", "", 1);
            ::execl("target/berylspringd", "target/berylspringd", "--settings", settings.c_str(), nullptr);
            ::_exit(127);
        }
        note("start " + m_name + " pid " + std::to_string(m_pid));
    }
    void kill(int signal) const
    {
        if (m_pid > 0) {
            note("signal " + std::to_string(signal) + " to " + m_name);
            ::kill(m_pid, signal);
        }
    }
    /** @return Whether the process has ended. */
    bool wait(std::int64_t ms)
    {
        const std::int64_t until = nowMs() + ms;
        while (m_pid > 0) {
            int status = 0;
            if (::waitpid(m_pid, &status, WNOHANG) == m_pid) {
                note(m_name + " ended, status " + std::to_string(status));
                m_pid = -1;
                return true;
            }
            if (nowMs() >= until) {
                return false;
            }
            sleepMs(5);
        }
        return true;
    }
    [[nodiscard]] bool isReady() const
    {
        Request request;
        request.target = "/api/ready";
        request.host = m_ip;
        request.deadlineMs = 1000;
        return send(m_ip, ready, request).status == 200;
    }
    bool waitUntilReady(std::int64_t ms) const
    {
        for (const std::int64_t until = nowMs() + ms; nowMs() < until; sleepMs(50)) {
            if (isReady()) {
                note(m_name + " is ready");
                return true;
            }
        }
        return false;
    }

private:
    [[nodiscard]] std::string render(bool isFirstStart) const
    {
        std::ifstream file("deploy/node.ini.template");
        std::stringstream text;
        text << file.rdbuf();
        std::string result = text.str();
        const auto replace = [&result](const std::string &from, const std::string &to) {
            for (std::size_t at = result.find(from); at != std::string::npos; at = result.find(from, at + to.size())) {
                result.replace(at, from.size(), to);
            }
        };
        std::string zones;
        for (const std::string &zone : m_deployment.zones) {
            zones += (zones.empty() ? "" : ",") + zone;
        }
        replace("{{#Zones}}{{@}}{{,}}{{/Zones}}", zones);
        replace("{{#FirstStart}}on{{/FirstStart}}{{^FirstStart}}off{{/FirstStart}}", isFirstStart ? "on" : "off");
        replace("{{Node}}", m_name);
        replace("{{Zone}}", m_zone);
        replace("{{Ip}}", m_ip);
        replace("{{Service}}", m_service);
        replace("{{Listen.Outbound}}", m_ip + ":" + std::to_string(caller));
        replace("{{Listen.Control}}", m_ip + ":" + std::to_string(control));
        replace("{{Listen.Ready}}", m_ip + ":" + std::to_string(ready));
        replace("{{PortRange.0}}", std::to_string(peer));
        replace("{{Bounds.GraceS}}", std::to_string(m_deployment.graceS));
        replace("{{Bounds.DrainMs}}", std::to_string(m_deployment.drainMs));
        replace("{{Bounds.ConfigApplyMs}}", std::to_string(m_deployment.configApplyMs));
        replace("{{Bounds.RevokeMs}}", std::to_string(m_deployment.revokeMs));
        replace("{{Bounds.QuotaSlack}}", std::to_string(m_deployment.quotaSlack));
        replace("{{Platform.Address}}", m_store);
        return result;
    }

    std::string m_name;
    std::string m_ip;
    std::string m_zone;
    std::string m_service;
    std::string m_store;
    Deployment m_deployment;
    std::string m_directory;
    pid_t m_pid = -1;

public:
    const std::uint16_t caller;
    const std::uint16_t control;
    const std::uint16_t ready;
    const std::uint16_t peer;
};

// -------------------------------------------------------------------------------------------------------- upstreams

/** @brief One run of a request at an upstream. */
struct Run
{
    std::string id;
    std::string upstream;
    std::int64_t arrivedAt = 0;
    std::int64_t endedAt = 0; ///< 0: broken off.
};

/** @brief A sound upstream beside a machine: heartbeats, target check, stamp, and a fixed time of work. */
class Upstream
{
public:
    Upstream(const Machine &machine, std::string id, std::uint16_t port, int slots, int workMs)
        : m_machine(machine)
        , m_id(std::move(id))
        , m_port(port)
        , m_slots(slots)
        , m_workMs(workMs)
        , m_born(unixMs())
        , m_server(machine.ip(), port, [this](int fd, const Message &request) { return handle(fd, request); })
    {
    }
    ~Upstream()
    {
        stopHeartbeats();
        m_server.stop();
    }
    Upstream(const Upstream &) = delete;
    Upstream &operator=(const Upstream &) = delete;

    [[nodiscard]] const std::string &id() const
    {
        return m_id;
    }
    void startHeartbeats()
    {
        m_beating = std::thread([this] {
            while (!m_isBeatingStopped) {
                heartbeat("ready");
                for (int i = 0; i < 150 && !m_isBeatingStopped; ++i) {
                    sleepMs(10);
                }
            }
        });
    }
    void stopHeartbeats()
    {
        m_isBeatingStopped = true;
        if (m_beating.joinable()) {
            m_beating.join();
        }
    }
    /** @return The bytes of the next heartbeat. */
    std::string heartbeatText(const std::string &state)
    {
        const std::string body = R"({"Address":")" + m_machine.ip() + ":" + std::to_string(m_port)
                                 + R"(","Info":{"Service":")" + m_machine.service() + R"(","Version":"v1","Zone":")"
                                 + m_machine.zone() + R"(","Slots":)" + std::to_string(m_slots)
                                 + R"(},"Status":{"State":")" + state + R"(","Seq":)" + std::to_string(++m_sequence)
                                 + R"(,"ColdRemainingMs":0},"born":)" + std::to_string(m_born) + "}";
        return "PUT /api/instances/" + m_id + " HTTP/1.1\r\nHost: " + m_machine.ip()
               + "\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: "
               + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    /** @return Whether it was acknowledged within a second. */
    bool heartbeat(const std::string &state)
    {
        return call(heartbeatText(state), "heartbeat " + state);
    }
    /** @brief The notice of an upstream that leaves without having reported `draining`. */
    bool leave()
    {
        return call("DELETE /api/instances/" + m_id + " HTTP/1.1\r\nHost: " + m_machine.ip()
                        + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
                    "leave");
    }
    bool call(const std::string &text, const std::string &what)
    {
        const int fd = connectTo(m_machine.ip(), m_machine.control, 1000);
        int status = 0;
        if (fd >= 0) {
            std::string buffer;
            Message answer;
            if (sendAll(fd, text) && readMessage(fd, buffer, answer, nowMs() + 1000, true) == ReadResult::Complete) {
                status = answer.status();
            }
            ::close(fd);
        }
        note(m_id + " " + what + " -> " + std::to_string(status));
        return status >= 200 && status < 300;
    }
    [[nodiscard]] std::vector<Run> runs() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_runs;
    }
    /** @brief Ends as a process does: the listening socket and all connections are closed. */
    void exit()
    {
        note(m_id + " exits");
        m_isExited = true;
        stopHeartbeats();
        m_server.stop();
    }
    void setWork(int workMs)
    {
        m_workMs = workMs;
    }
    /** @brief Replaces the answer to a request that has run; returns false to close the connection. */
    using Answering = std::function<bool(int fd, const std::string &requestId)>;
    void setAnswering(Answering answering)
    {
        m_answering = std::move(answering);
    }
    /** @return The text of an answer with the headers of an upstream. */
    static std::string answerTo(const std::string &requestId, int status)
    {
        return answerText(status,
                          {{"Berylspring-Request-Id", requestId},
                           {"Berylspring-Response-Stamp", "stamp." + requestId},
                           {"Keep-Alive", "timeout=10"}},
                          "body of " + requestId);
    }

private:
    bool handle(int fd, const Message &request)
    {
        const std::string requestId = request.header("Berylspring-Request-Id");
        const std::string expected = request.header("Berylspring-Target-Instance");
        if (!expected.empty() && expected != m_id) {
            return sendAll(fd, answerText(421, {{"Berylspring-Instance-Id", m_id}}, ""));
        }
        std::size_t index = 0;
        {
            const std::scoped_lock lock(m_mutex);
            index = m_runs.size();
            m_runs.push_back({requestId, m_id, nowMs(), 0});
        }
        note("run " + requestId + " at " + m_id + " tenant " + request.header("Berylspring-Tenant"));
        const std::int64_t until = nowMs() + m_workMs;
        while (nowMs() < until) {
            if (m_isExited) {
                return false;
            }
            sleepMs(std::min<std::int64_t>(5, until - nowMs()));
        }
        {
            const std::scoped_lock lock(m_mutex);
            m_runs[index].endedAt = nowMs();
        }
        return m_answering ? m_answering(fd, requestId) : sendAll(fd, answerTo(requestId, 200));
    }

    const Machine &m_machine;
    const std::string m_id;
    const std::uint16_t m_port;
    const int m_slots;
    std::atomic<int> m_workMs;
    const std::int64_t m_born;
    Answering m_answering; ///< Set before the first request.
    std::atomic<std::uint64_t> m_sequence{0};
    mutable std::mutex m_mutex;
    std::vector<Run> m_runs;
    std::atomic<bool> m_isBeatingStopped{false};
    std::atomic<bool> m_isExited{false};
    std::thread m_beating;
    HttpServer m_server;
};

// ---------------------------------------------------------------------------------------------------------- set-up

/** @brief Temporary folder of a case, removed at its end. */
class Workspace
{
public:
    Workspace()
    {
        char name[] = "/tmp/berylspring-review-XXXXXX";
        if (::mkdtemp(name) == nullptr) {
            std::exit(CouldNotRun);
        }
        m_path = name;
    }
    ~Workspace()
    {
        if (std::getenv("KEEP") == nullptr) {
            const std::string command = "rm -rf " + m_path;
            if (std::system(command.c_str()) != 0) {
                std::fprintf(stderr, "%s stays\n", m_path.c_str());
            }
        }
    }
    Workspace(const Workspace &) = delete;
    Workspace &operator=(const Workspace &) = delete;

    [[nodiscard]] const std::string &path() const
    {
        return m_path;
    }

private:
    std::string m_path;
};

/** @return The text of a configuration. */
inline std::string
configText(int version, const std::string &services, const std::string &tenants, const std::string &hosts)
{
    return R"({"Version":)" + std::to_string(version) + R"(,"Services":[)" + services
           + R"(],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},)"
             R"("Tenants":[)"
           + tenants + R"(],"VirtualHosts":[)" + hosts + "]}";
}

inline std::string serviceText(const std::string &name)
{
    return R"({"Name":")" + name + R"(","HealthPath":"/health","MaxConnections":472,"Protocol":"h1","Tls":false})";
}

inline std::string routeText(const std::string &name,
                             const std::string &prefix,
                             const std::string &kind,
                             int timeoutMs,
                             const std::string &service)
{
    return R"({"Name":")" + name + R"(","PathPrefix":")" + prefix + R"(","Kind":")" + kind + R"(","TimeoutMs":)"
           + std::to_string(timeoutMs) + R"(,"TargetLatencyMs":1500,"Priority":0,"Service":")" + service
           + R"(","MaxAttempts":2,"Public":false})";
}

}
