// Stand-ins for the scripts of this review: the platform's store, upstreams, clients and process control.
// They follow PROTOCOL.md and DEPLOY.md. Plain POSIX sockets with one thread for each connection.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;

inline double now()
{
    static const Clock::time_point start = Clock::now();
    return std::chrono::duration<double>(Clock::now() - start).count();
}
inline void pause(double seconds)
{
    if (seconds > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    }
}

// --- record ----------------------------------------------------------------------------------------------------------

class Record
{
public:
    void open(const std::string &path)
    {
        m_file = std::fopen(path.c_str(), "w");
    }
    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::scoped_lock lock(m_mutex);
        if (m_file == nullptr) {
            return;
        }
        std::fprintf(m_file, "%9.3f ", now());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    std::FILE *m_file = nullptr;
};
inline Record record;

// --- sockets ---------------------------------------------------------------------------------------------------------

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

class Socket
{
public:
    explicit Socket(int fd = -1)
        : m_fd(fd)
    {
    }
    ~Socket()
    {
        close();
    }
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;
    int fd() const
    {
        return m_fd;
    }
    bool isOpen() const
    {
        return m_fd >= 0;
    }
    void close()
    {
        const int fd = m_fd.exchange(-1);
        if (fd >= 0) {
            ::close(fd);
        }
    }
    void reset()
    {
        const int fd = m_fd.exchange(-1);
        if (fd >= 0) {
            const linger hard{1, 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
            ::close(fd);
        }
    }
    bool connect(const std::string &ip, int port, double timeout, const std::string &from = {})
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const int one = 1;
        setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        if (!from.empty()) {
            const sockaddr_in own = addressOf(from, 0);
            ::bind(m_fd, reinterpret_cast<const sockaddr *>(&own), sizeof(own));
        }
        const sockaddr_in address = addressOf(ip, port);
        if (::connect(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0) {
            return true;
        }
        pollfd waiting{m_fd, POLLOUT, 0};
        if (errno != EINPROGRESS || ::poll(&waiting, 1, static_cast<int>(timeout * 1000)) != 1) {
            close();
            return false;
        }
        int error = 0;
        socklen_t size = sizeof(error);
        getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) {
            close();
        }
        return error == 0;
    }
    bool send(const std::string &bytes, double timeout = 10)
    {
        const double until = now() + timeout;
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count > 0) {
                sent += static_cast<std::size_t>(count);
                continue;
            }
            pollfd waiting{m_fd, POLLOUT, 0};
            const int left = static_cast<int>((until - now()) * 1000);
            if (count < 0 && (errno == EAGAIN || errno == EINTR) && left > 0) {
                ::poll(&waiting, 1, left);
                continue;
            }
            return false;
        }
        return true;
    }
    // 1: bytes appended, 0: closed, -1: reset or error, -2: timeout
    int receive(std::string &buffer, double until)
    {
        char bytes[65536];
        for (;;) {
            const ssize_t count = ::recv(m_fd, bytes, sizeof(bytes), MSG_DONTWAIT);
            if (count > 0) {
                buffer.append(bytes, static_cast<std::size_t>(count));
                return 1;
            }
            if (count == 0) {
                return 0;
            }
            if (errno != EAGAIN && errno != EINTR) {
                return -1;
            }
            const double left = until - now();
            if (left <= 0) {
                return -2;
            }
            pollfd waiting{m_fd, POLLIN, 0};
            ::poll(&waiting, 1, static_cast<int>(std::min(left, 3600.0) * 1000) + 1);
        }
    }

private:
    std::atomic<int> m_fd;
};

// --- HTTP ------------------------------------------------------------------------------------------------------------

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

struct Message
{
    std::string first; // Request line or status line.
    std::map<std::string, std::string> headers; // Names in small letters.
    std::string body;
    bool isComplete = false;

    std::string header(const std::string &name) const
    {
        const auto found = headers.find(lower(name));
        return found == headers.end() ? std::string() : found->second;
    }
    std::string word(int index) const
    {
        std::istringstream words(first);
        std::string word;
        for (int i = 0; i <= index; ++i) {
            word.clear();
            words >> word;
        }
        return word;
    }
    int status() const
    {
        return std::atoi(word(1).c_str());
    }
};

// @return 1 with a whole message; else as Socket::receive(). The rest of the bytes stays in the buffer.
inline int readMessage(Socket &socket, std::string &buffer, Message &message, double until, bool isAnswer)
{
    message = {};
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        const int result = socket.receive(buffer, until);
        if (result != 1) {
            return result;
        }
    }
    std::istringstream head(buffer.substr(0, end));
    std::string line;
    std::getline(head, line);
    message.first = line.substr(0, line.find('\r'));
    while (std::getline(head, line)) {
        line = line.substr(0, line.find('\r'));
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.headers[lower(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
        }
    }
    buffer.erase(0, end + 4);
    if (lower(message.header("transfer-encoding")) == "chunked") {
        for (;;) {
            std::size_t lineEnd = 0;
            while ((lineEnd = buffer.find("\r\n")) == std::string::npos) {
                const int result = socket.receive(buffer, until);
                if (result != 1) {
                    return result;
                }
            }
            const std::size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
            while (buffer.size() < lineEnd + 2 + size + 2) {
                const int result = socket.receive(buffer, until);
                if (result != 1) {
                    return result;
                }
            }
            message.body += buffer.substr(lineEnd + 2, size);
            buffer.erase(0, lineEnd + 2 + size + 2);
            if (size == 0) {
                message.isComplete = true;
                return 1;
            }
        }
    }
    const std::string length = message.header("content-length");
    if (length.empty() && isAnswer) {
        int result = 1;
        while (result == 1) {
            result = socket.receive(buffer, until);
        }
        message.body = buffer;
        buffer.clear();
        message.isComplete = result == 0;
        return result == 0 ? 1 : result;
    }
    const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
    while (buffer.size() < size) {
        const int result = socket.receive(buffer, until);
        if (result != 1) {
            message.body = buffer;
            return result;
        }
    }
    message.body = buffer.substr(0, size);
    buffer.erase(0, size);
    message.isComplete = true;
    return 1;
}

inline std::string httpAnswer(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers + "Content-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

// One connection of a server.
struct Peer
{
    Socket socket;
    std::string buffer;
    explicit Peer(int fd)
        : socket(fd)
    {
    }
};

class Server
{
public:
    // @return false to close the connection.
    using Handler = std::function<bool(Peer &, Message &)>;

    int listen(const std::string &ip, int port, Handler handler)
    {
        m_handler = std::move(handler);
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
        sockaddr_in address = addressOf(ip, port);
        if (::bind(m_fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0 || ::listen(m_fd, 512) != 0) {
            std::perror("listen");
            std::exit(2);
        }
        socklen_t size = sizeof(address);
        getsockname(m_fd, reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
        m_ip = ip;
        std::thread([this, fd = m_fd.load()] { accept(fd); }).detach();
        return m_port;
    }
    // Refuses new connections; resets the open ones if asked.
    void stop(bool resetOpen)
    {
        const int fd = m_fd.exchange(-1);
        if (fd >= 0) {
            ::shutdown(fd, SHUT_RDWR);
            ::close(fd);
        }
        if (resetOpen) {
            const std::scoped_lock lock(m_mutex);
            for (const auto &weak : m_peers) {
                if (const auto peer = weak.lock()) {
                    const linger hard{1, 0};
                    setsockopt(peer->socket.fd(), SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
                    ::shutdown(peer->socket.fd(), SHUT_RDWR);
                }
            }
        }
    }
    void start()
    {
        listen(m_ip, m_port, m_handler);
    }
    int port() const
    {
        return m_port;
    }

private:
    void accept(int fd)
    {
        for (;;) {
            const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                if (m_fd.load() != fd) {
                    return;
                }
                pause(0.01);
                continue;
            }
            const int one = 1;
            setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
            auto peer = std::make_shared<Peer>(accepted);
            {
                const std::scoped_lock lock(m_mutex);
                std::erase_if(m_peers, [](const auto &weak) { return weak.expired(); });
                m_peers.push_back(peer);
            }
            std::thread([this, peer] {
                Message message;
                while (peer->socket.isOpen() && readMessage(peer->socket, peer->buffer, message, 1e9, false) == 1
                       && m_handler(*peer, message)) { }
                peer->socket.close();
            }).detach();
        }
    }

    Handler m_handler;
    std::atomic<int> m_fd = -1;
    int m_port = 0;
    std::string m_ip;
    std::mutex m_mutex;
    std::vector<std::weak_ptr<Peer>> m_peers;
};

// --- the platform's store (log) --------------------------------------------------------------------------------------

inline std::string bigEndian(std::uint64_t number, int bytes)
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        text.push_back(static_cast<char>((number >> shift) & 0xff));
    }
    return text;
}

inline std::string base64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text.push_back(i + j > bytes.size() ? '=' : digits[group >> (18 - 6 * j) & 63]);
        }
    }
    return text;
}

inline std::string query(const std::string &target, const std::string &name)
{
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t end = target.find('&', at + 1);
        const std::string part = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        if (part.rfind(name + "=", 0) == 0) {
            return part.substr(name.size() + 1);
        }
        at = end;
    }
    return {};
}

struct StoreRecord
{
    std::string key;
    std::string value;
};

// What one machine meets at the store.
enum class StoreMode { Serves, Busy, Silent, LosesWrites, LateWrites };

class Store
{
public:
    // @return Port of one more address of the store; each machine gets its own, so that single ones can be refused.
    int open(const std::string &ip)
    {
        const std::size_t door = m_doors.size();
        m_doors.push_back(std::make_unique<Door>());
        return m_doors.back()->server.listen(
            ip, 0, [this, door](Peer &peer, Message &message) { return answer(*m_doors[door], peer, message); });
    }
    void setMode(std::size_t door, StoreMode mode)
    {
        m_doors[door]->mode = mode;
    }
    void setMode(StoreMode mode)
    {
        for (const auto &door : m_doors) {
            door->mode = mode;
        }
    }
    // Answers take so long.
    void setDelay(double seconds)
    {
        m_delay = seconds;
    }
    // Writes that are done late are done after this time.
    void setLateness(double seconds)
    {
        m_lateness = seconds;
    }
    // Called for each append of a node before it is done: mode for this one call.
    std::function<StoreMode(const std::string &topic, const std::string &key, const std::string &value)> onAppend;

    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::scoped_lock lock(m_mutex);
        m_topics[topic].push_back({key, value});
        m_changed.notify_all();
    }
    std::string newestOf(const std::string &topic, const std::string &key)
    {
        const std::scoped_lock lock(m_mutex);
        const auto &records = m_topics[topic];
        for (std::size_t i = records.size(); i-- > 0;) {
            if (records[i].key == key) {
                return records[i].value;
            }
        }
        return {};
    }

private:
    struct Door
    {
        Server server;
        std::atomic<StoreMode> mode = StoreMode::Serves;
    };

    static bool reply(Peer &peer, int status, const std::string &body, bool isJson = true)
    {
        return peer.socket.send(httpAnswer(status, isJson ? "Content-Type: application/json\r\n" : "", body));
    }

    bool answer(Door &door, Peer &peer, Message &message)
    {
        const std::string target = message.word(1);
        const std::string path = target.substr(0, target.find('?'));
        const std::string topic = query(target, "Topic");
        StoreMode mode = door.mode;
        if (mode == StoreMode::Silent) {
            hold(peer);
            return false;
        }
        pause(m_delay);
        if (mode == StoreMode::Busy) {
            return reply(peer, 503, "{}");
        }
        if (path == "/api/log-append") {
            return append(peer, topic, message.body, mode);
        }
        if (path == "/api/log-read") {
            return read(door, peer, topic, target);
        }
        if (path == "/api/log-newest") {
            return newest(peer, topic);
        }
        return reply(peer, 404, "{}");
    }

    static void hold(Peer &peer)
    {
        // No answer until the other side closes.
        std::string ignored;
        while (peer.socket.receive(ignored, now() + 60) == 1) { }
    }

    bool append(Peer &peer, const std::string &topic, const std::string &body, StoreMode mode)
    {
        if (topic == "keyed.op" || topic == "keyed.servers") {
            return reply(peer, 403, "{}");
        }
        std::vector<StoreRecord> records;
        std::size_t at = 0;
        while (at + 4 < body.size()) {
            std::size_t length = 0;
            for (int i = 0; i < 4; ++i) {
                length = length << 8 | static_cast<unsigned char>(body[at + static_cast<std::size_t>(i)]);
            }
            const std::string content = body.substr(at + 4, length);
            const auto keyLength = static_cast<unsigned char>(content.at(0));
            records.push_back({content.substr(1, keyLength), content.substr(1 + keyLength)});
            at += 4 + length;
        }
        if (onAppend && !records.empty()) {
            const StoreMode asked = onAppend(topic, records[0].key, records[0].value);
            mode = asked == StoreMode::Serves ? mode : asked;
        }
        if (mode == StoreMode::Busy) {
            return reply(peer, 503, "{}");
        }
        if (mode == StoreMode::LateWrites) {
            std::thread([this, topic, records, lateness = m_lateness.load()] {
                pause(lateness);
                for (const StoreRecord &each : records) {
                    record.line("store: does a late write to %s of %s: %s",
                                topic.c_str(),
                                each.key.c_str(),
                                each.value.c_str());
                    put(topic, each.key, each.value);
                }
            }).detach();
            hold(peer);
            return false;
        }
        std::size_t offset = 0;
        std::size_t end = 0;
        {
            const std::scoped_lock lock(m_mutex);
            auto &all = m_topics[topic];
            offset = all.size();
            all.insert(all.end(), records.begin(), records.end());
            end = all.size();
            m_changed.notify_all();
        }
        if (mode == StoreMode::LosesWrites) {
            hold(peer);
            return false;
        }
        return reply(peer, 200, "{\"Offset\":" + std::to_string(offset) + ",\"End\":" + std::to_string(end) + "}");
    }

    bool read(Door &door, Peer &peer, const std::string &topic, const std::string &target)
    {
        const std::size_t from = std::strtoul(query(target, "From").c_str(), nullptr, 10);
        const double wait = std::atof(query(target, "WaitMs").c_str()) / 1000;
        std::string body;
        {
            std::unique_lock lock(m_mutex);
            const double until = now() + wait;
            while (m_topics[topic].size() <= from && now() < until && door.mode == StoreMode::Serves) {
                m_changed.wait_for(lock, std::chrono::milliseconds(20));
            }
            const auto &records = m_topics[topic];
            if (from > records.size()) {
                return reply(peer, 410, "{\"First\":0}");
            }
            body = bigEndian(records.size(), 8) + bigEndian(0, 8);
            for (std::size_t i = from; i < records.size(); ++i) {
                const std::string content = bigEndian(records[i].key.size(), 1) + records[i].key + records[i].value;
                body += bigEndian(content.size(), 4) + content;
            }
        }
        if (door.mode == StoreMode::Silent) {
            hold(peer);
            return false;
        }
        return reply(peer, 200, body, false);
    }

    bool newest(Peer &peer, const std::string &topic)
    {
        std::string items;
        std::size_t end = 0;
        {
            const std::scoped_lock lock(m_mutex);
            const auto &records = m_topics[topic];
            end = records.size();
            std::set<std::string> seen;
            for (std::size_t i = end; i-- > 0;) {
                if (seen.insert(records[i].key).second && !records[i].value.empty()) {
                    items += (items.empty() ? "" : ",") + std::string("{\"Key\":\"") + records[i].key
                             + "\",\"Value\":\"" + base64(records[i].value) + "\",\"Offset\":" + std::to_string(i)
                             + "}";
                }
            }
        }
        return reply(peer, 200, "{\"items\":[" + items + "],\"HasMore\":false,\"End\":" + std::to_string(end) + "}");
    }

    std::vector<std::unique_ptr<Door>> m_doors;
    std::atomic<double> m_delay = 0.004;
    std::atomic<double> m_lateness = 3;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<StoreRecord>> m_topics;
};

// --- processes -------------------------------------------------------------------------------------------------------

struct Machine
{
    std::string name;
    std::string zone;
    std::string service;
    std::string ip;
    int storePort = 0;
};

class Node
{
public:
    Machine machine;
    int outbound = 0;
    int control = 0;
    int ready = 0;
    pid_t pid = -1;

    void start(const std::string &binary,
               const std::string &folder,
               const std::string &zones,
               bool firstStart,
               int threads,
               const std::string &storeIp,
               int portBase)
    {
        m_binary = binary;
        m_folder = folder;
        m_zones = zones;
        m_threads = threads;
        m_storeIp = storeIp;
        outbound = portBase;
        control = portBase + 1;
        ready = portBase + 2;
        m_peer = portBase + 3;
        launch(firstStart);
    }
    // Renders deploy/node.ini.template for this machine, as the platform does at every start.
    void launch(bool firstStart)
    {
        std::ifstream in("deploy/node.ini.template");
        std::stringstream text;
        text << in.rdbuf();
        std::string settings = text.str();
        const auto replace = [&](const std::string &from, const std::string &to) {
            for (std::size_t at = 0; (at = settings.find(from, at)) != std::string::npos; at += to.size()) {
                settings.replace(at, from.size(), to);
            }
        };
        replace("{{#Zones}}{{@}}{{,}}{{/Zones}}", m_zones);
        replace("{{#FirstStart}}on{{/FirstStart}}{{^FirstStart}}off{{/FirstStart}}", firstStart ? "on" : "off");
        replace("{{Node}}", machine.name);
        replace("{{Zone}}", machine.zone);
        replace("{{Ip}}", machine.ip);
        replace("{{Service}}", machine.service);
        replace("{{Listen.Outbound}}", machine.ip + ":" + std::to_string(outbound));
        replace("{{Listen.Control}}", machine.ip + ":" + std::to_string(control));
        replace("{{Listen.Ready}}", machine.ip + ":" + std::to_string(ready));
        replace("{{PortRange.0}}", std::to_string(m_peer));
        replace("{{Bounds.GraceS}}", "6");
        replace("{{Bounds.DrainMs}}", "2000");
        replace("{{Bounds.ConfigApplyMs}}", "2000");
        replace("{{Bounds.RevokeMs}}", "5000");
        replace("{{Bounds.QuotaSlack}}", "20");
        replace("{{Platform.Address}}", m_storeIp + ":" + std::to_string(machine.storePort));
        const std::string path = m_folder + "/" + machine.name + ".ini";
        std::ofstream(path) << settings;
        const std::string log = m_folder + "/" + machine.name + ".log";
        const std::string threads = std::to_string(m_threads);
        pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // So that no process outlives the script.
            setenv("BERYLSPRING_NODE_THREADS", threads.c_str(), 1);
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            execl(m_binary.c_str(), m_binary.c_str(), "--settings", path.c_str(), nullptr);
            _exit(127);
        }
        record.line("node %s: started as process %d", machine.name.c_str(), pid);
    }
    void signal(int number, const char *name)
    {
        record.line("node %s: %s", machine.name.c_str(), name);
        if (pid > 0) {
            ::kill(pid, number);
        }
    }
    // @return exit status of waitpid(), or nothing if the process still runs after that time.
    std::optional<int> wait(double seconds)
    {
        const double until = now() + seconds;
        int status = 0;
        while (pid > 0) {
            if (waitpid(pid, &status, WNOHANG) == pid) {
                pid = -1;
                record.line("node %s: ended, status 0x%x", machine.name.c_str(), status);
                return status;
            }
            if (now() >= until) {
                return std::nullopt;
            }
            pause(0.01);
        }
        return status;
    }
    bool hasEnded()
    {
        int status = 0;
        if (pid > 0 && waitpid(pid, &status, WNOHANG) == pid) {
            pid = -1;
            record.line("node %s: ended by itself, status 0x%x", machine.name.c_str(), status);
            return true;
        }
        return false;
    }

private:
    std::string m_binary;
    std::string m_folder;
    std::string m_zones;
    std::string m_storeIp;
    int m_threads = 1;
    int m_peer = 0;
};

// --- clients ---------------------------------------------------------------------------------------------------------

struct Answer
{
    int status = 0; // 0: no connection, -1: closed, -2: reset, -3: none in time
    std::string stamp;
    std::string id;
    std::string body;
    double took = 0;
};

struct Call
{
    std::string id;
    std::string method = "GET";
    std::string host;
    std::string target;
    std::string key;
    std::string body;
    int deadlineMs = 5000;
};

inline std::string requestText(const Call &call)
{
    std::string text = call.method + " " + call.target + " HTTP/1.1\r\nHost: " + call.host
                       + "\r\nBerylspring-Request-Id: " + call.id
                       + "\r\nBerylspring-Deadline-Ms: " + std::to_string(call.deadlineMs) + "\r\n";
    if (!call.key.empty()) {
        text += "Berylspring-Key: " + call.key + "\r\n";
    }
    if (call.method != "GET") {
        text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
    }
    return text + "\r\n" + call.body;
}

class Client
{
public:
    Client(std::string ip, int port)
        : m_ip(std::move(ip))
        , m_port(port)
    {
    }
    Answer call(const Call &call)
    {
        Answer answer;
        const double start = now();
        if (!m_socket || !m_socket->isOpen()) {
            m_socket = std::make_unique<Socket>();
            m_buffer.clear();
            if (!m_socket->connect(m_ip, m_port, 1)) {
                m_socket.reset();
                return answer;
            }
        }
        answer.status = -2;
        if (m_socket->send(requestText(call))) {
            Message message;
            const int result = readMessage(*m_socket, m_buffer, message, start + call.deadlineMs / 1000.0 + 1, true);
            answer.status = result == 1 ? message.status() : result == 0 ? -1 : result == -1 ? -2 : -3;
            answer.stamp = message.header("Berylspring-Response-Stamp");
            answer.id = message.header("Berylspring-Request-Id");
            answer.body = message.body;
            if (result != 1 || lower(message.header("connection")) == "close") {
                m_socket.reset();
            }
        } else {
            m_socket.reset();
        }
        answer.took = now() - start;
        return answer;
    }
    void close()
    {
        m_socket.reset();
    }

private:
    std::string m_ip;
    int m_port;
    std::unique_ptr<Socket> m_socket;
    std::string m_buffer;
};

// --- upstreams -------------------------------------------------------------------------------------------------------

struct Run
{
    std::string id;
    std::string instance;
    std::string tenant;
    std::string caller;
    std::string line;
    std::string key;
    std::size_t bodyHash = 0;
    double at = 0;
};

// All runs of all upstreams.
class Runs
{
public:
    void add(const Run &run)
    {
        const std::scoped_lock lock(m_mutex);
        m_runs.push_back(run);
    }
    std::vector<Run> all()
    {
        const std::scoped_lock lock(m_mutex);
        return m_runs;
    }
    std::vector<Run> of(const std::string &id)
    {
        const std::scoped_lock lock(m_mutex);
        std::vector<Run> found;
        std::copy_if(
            m_runs.begin(), m_runs.end(), std::back_inserter(found), [&](const Run &run) { return run.id == id; });
        return found;
    }

private:
    std::mutex m_mutex;
    std::vector<Run> m_runs;
};
inline Runs runs;

inline std::string stampOf(const std::string &instance, const std::string &id, const std::string &body)
{
    return instance + "." + id + "." + std::to_string(body.size()) + "."
           + std::to_string(std::hash<std::string>{}(body));
}

class Upstream
{
public:
    std::string id;
    std::string service;
    std::string ip;
    std::atomic<double> work = 0.02;
    int slots = 54;
    // Answers in place of the usual one; @return nothing for the usual answer, else whether the connection goes on.
    std::function<std::optional<bool>(Peer &, Message &)> behaviour;
    std::atomic<bool> sendsHeartbeats = true;

    // @param port That of the machine's upstream; 0 for a free one.
    void
    start(const std::string &ownIp, const Node &node, const std::string &instance, std::uint64_t born, int port = 0)
    {
        ip = ownIp;
        id = instance;
        m_born = born;
        m_node = &node;
        service = node.machine.service;
        m_server.listen(ip, port, [this](Peer &peer, Message &message) { return answer(peer, message); });
        std::thread([this] {
            for (;;) {
                if (sendsHeartbeats) {
                    heartbeat(m_state, ++m_seq);
                }
                pause(1.5);
            }
        }).detach();
    }
    std::string heartbeatText(const std::string &state, int seq) const
    {
        const std::string body = "{\"Address\":\"" + ip + ":" + std::to_string(m_server.port())
                                 + "\",\"Info\":{\"Service\":\"" + service + "\",\"Version\":\"v1\",\"Zone\":\""
                                 + m_node->machine.zone + "\",\"Slots\":" + std::to_string(slots)
                                 + "},\"Status\":{\"State\":\"" + state + "\",\"Seq\":" + std::to_string(seq)
                                 + ",\"ColdRemainingMs\":0},\"born\":" + std::to_string(m_born) + "}";
        return "PUT /api/instances/" + id + " HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: "
               + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    int send(const std::string &text) const
    {
        Socket socket;
        Message message;
        std::string buffer;
        if (!socket.connect(m_node->machine.ip, m_node->control, 1) || !socket.send(text)
            || readMessage(socket, buffer, message, now() + 1, true) != 1) {
            return 0;
        }
        return message.status();
    }
    int heartbeat(const std::string &state, int seq) const
    {
        return send(heartbeatText(state, seq));
    }
    int drain()
    {
        m_state = "draining";
        return heartbeat("draining", ++m_seq);
    }
    int leave() const
    {
        return send("DELETE /api/instances/" + id + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
    }
    // Number of a heartbeat that is sent now; its text may be delivered later.
    int takeSequence()
    {
        return ++m_seq;
    }
    Server &server()
    {
        return m_server;
    }

private:
    bool answer(Peer &peer, Message &message)
    {
        const std::string requestId = message.header("Berylspring-Request-Id");
        if (message.word(1) == "/health") {
            return peer.socket.send(httpAnswer(200, "Berylspring-Instance-Id: " + id + "\r\n", ""));
        }
        const std::string expected = message.header("Berylspring-Target-Instance");
        if (!expected.empty() && expected != id) {
            record.line("upstream %s: 421 to %s for %s", id.c_str(), requestId.c_str(), expected.c_str());
            return peer.socket.send(
                httpAnswer(421, "Berylspring-Request-Id: " + requestId + "\r\nBerylspring-Not-Executed: 1\r\n", ""));
        }
        if (requestId.empty()) {
            return peer.socket.send(httpAnswer(400, "Berylspring-Not-Executed: 1\r\n", ""));
        }
        if (behaviour) {
            if (const auto result = behaviour(peer, message)) {
                return *result;
            }
        }
        run(message);
        pause(work);
        return reply(peer, message, 200);
    }

public:
    void run(const Message &message)
    {
        const std::string requestId = message.header("Berylspring-Request-Id");
        const std::string line = message.word(0) + " " + message.word(1);
        runs.add({requestId,
                  id,
                  message.header("Berylspring-Tenant"),
                  message.header("Berylspring-Caller-Service"),
                  line,
                  message.header("Berylspring-Key"),
                  std::hash<std::string>{}(message.body),
                  now()});
        record.line("upstream %s: runs %s (%s), tenant %s",
                    id.c_str(),
                    requestId.c_str(),
                    line.c_str(),
                    message.header("Berylspring-Tenant").c_str());
    }
    bool reply(Peer &peer, const Message &message, int status, const std::string &extra = {})
    {
        const std::string requestId = message.header("Berylspring-Request-Id");
        const std::string body = bodyOf(requestId, message.word(1));
        return peer.socket.send(httpAnswer(status,
                                           extra + "Berylspring-Request-Id: " + requestId
                                               + "\r\nBerylspring-Response-Stamp: " + stampOf(id, requestId, body)
                                               + "\r\n",
                                           body));
    }
    static std::string bodyOf(const std::string &requestId, const std::string &target)
    {
        std::string body = "answer to " + requestId + " " + target + "\n";
        const std::size_t size = 200 + std::hash<std::string>{}(requestId) % 3000;
        while (body.size() < size) {
            body += requestId;
        }
        return body;
    }

private:
    Server m_server;
    const Node *m_node = nullptr;
    std::uint64_t m_born = 0;
    std::atomic<int> m_seq = 0;
    std::string m_state = "ready";
};

// --- a small deployment ----------------------------------------------------------------------------------------------

inline std::uint64_t unixMs()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
            .count());
}

class Deployment
{
public:
    Store store;
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<std::unique_ptr<Upstream>> upstreams;
    std::string folder;
    int version = 0;

    // @param services Service of each machine; zones are given in turn.
    void start(const std::vector<std::string> &services, int threads, const std::string &binary)
    {
        std::signal(SIGPIPE, SIG_IGN);
        char pattern[] = "/tmp/review-XXXXXX";
        folder = mkdtemp(pattern);
        const int second = 16 + static_cast<int>(getpid() % 200);
        const int third = 1 + static_cast<int>((getpid() / 200) % 250);
        m_net = "127." + std::to_string(second) + "." + std::to_string(third) + ".";
        const int base = freePorts();
        for (std::size_t i = 0; i < services.size(); ++i) {
            auto node = std::make_unique<Node>();
            node->machine = {"m" + std::to_string(i + 1),
                             "z" + std::to_string(i % 3 + 1),
                             services[i],
                             m_net + std::to_string(10 + i),
                             store.open(m_net + "2")};
            node->start(binary, folder, "z1,z2,z3", true, threads, m_net + "2", base);
            nodes.push_back(std::move(node));
        }
    }
    void addUpstreams()
    {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            auto upstream = std::make_unique<Upstream>();
            upstream->start(nodes[i]->machine.ip, *nodes[i], "i-" + std::to_string(i + 1), unixMs());
            upstreams.push_back(std::move(upstream));
        }
    }
    void configure(const std::string &tenants, const std::string &paths)
    {
        version += 3;
        const std::string document =
            "{\"Version\":" + std::to_string(version)
            + ",\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":1048576,\"HeaderTimeoutMs\":5000,\"IdleTimeoutMs\":15000},"
              "\"Services\":[],\"Tenants\":["
            + tenants + "],\"VirtualHosts\":[{\"Host\":\"shop.example\",\"Paths\":[" + paths + "]}]}";
        store.put("keyed.op", "config", document);
        record.line("operator: version %d is acknowledged", version);
    }
    bool waitReady(double seconds)
    {
        const double until = now() + seconds;
        for (const auto &node : nodes) {
            while (!isReady(*node)) {
                if (now() > until) {
                    return false;
                }
                pause(0.05);
            }
        }
        return true;
    }
    static bool isReady(const Node &node)
    {
        Socket socket;
        Message message;
        std::string buffer;
        return socket.connect(node.machine.ip, node.ready, 0.5)
               && socket.send("GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
               && readMessage(socket, buffer, message, now() + 1, true) == 1 && message.status() == 200;
    }
    Client client(std::size_t node) const
    {
        return {nodes[node]->machine.ip, nodes[node]->outbound};
    }
    void stop()
    {
        for (const auto &node : nodes) {
            if (node->pid > 0) {
                ::kill(node->pid, SIGCONT);
                ::kill(node->pid, SIGKILL);
                waitpid(node->pid, nullptr, 0);
                node->pid = -1;
            }
        }
        if (std::getenv("KEEP_LOGS") == nullptr && !folder.empty()) {
            const std::string command = "rm -rf '" + folder + "'";
            [[maybe_unused]] const int ignored = std::system(command.c_str());
        }
    }

private:
    // Four ports in a row that are free on the loopback addresses.
    int freePorts() const
    {
        std::mt19937 random(static_cast<unsigned>(getpid()) ^ static_cast<unsigned>(unixMs()));
        for (int attempt = 0; attempt < 100; ++attempt) {
            const int base = 20000 + static_cast<int>(random() % 10000);
            bool isFree = true;
            for (int port = base; port < base + 4 && isFree; ++port) {
                const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
                const sockaddr_in address = addressOf(m_net + "10", port);
                isFree = ::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
                ::close(fd);
            }
            if (isFree) {
                return base;
            }
        }
        std::exit(2);
    }

    std::string m_net;
};

inline std::string route(const std::string &name,
                         const std::string &prefix,
                         const std::string &service,
                         const std::string &kind,
                         int attempts = 2,
                         int timeoutMs = 5000)
{
    return "{\"Name\":\"" + name + "\",\"PathPrefix\":\"" + prefix + "\",\"Kind\":\"" + kind + "\",\"TimeoutMs\":"
           + std::to_string(timeoutMs) + ",\"TargetLatencyMs\":1000,\"MaxAttempts\":" + std::to_string(attempts)
           + ",\"Priority\":1,\"Service\":\"" + service + "\"}";
}

inline std::string tenant(const std::string &name, const std::string &keys, double rate = 0, double burst = 0)
{
    return "{\"Name\":\"" + name + "\",\"ApiKeys\":[" + keys + "],\"RatePerS\":" + std::to_string(rate)
           + ",\"Burst\":" + std::to_string(burst) + "}";
}

}
