// Fake of the platform's log service. PUT /control sets limits and injects faults.
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <boost/url.hpp>

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;
using Clock = std::chrono::steady_clock;

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint32_t MaxPageRecords = 1000;
constexpr std::uint64_t MaxBodyBytes = 1024ULL * 1024;

/** @brief Faults and limits, as set by PUT /control. */
struct Control
{
    double ratePerSecond = 0; ///< Further appends get status 429; 0 disables the limit.
    std::chrono::milliseconds stall{0}; ///< Delay before each request is handled, except to /control.
    bool isRefusing = false; ///< All requests except to /control get status 503.
    std::uint64_t responsesToDrop = 0; ///< Number of next appends that take effect but get no response.
};

/** @brief Records of one stream; the first offset of a new stream is 0. */
class Stream
{
public:
    explicit Stream(const asio::any_io_executor &executor)
        : m_changed(executor, Clock::time_point::max())
    {
    }

    std::uint64_t append(std::string data)
    {
        m_records.push_back(std::move(data));
        m_changed.cancel();
        return end() - 1;
    }
    void dropBefore(std::uint64_t offset)
    {
        while (m_first < offset && !m_records.empty()) {
            m_records.pop_front();
            ++m_first;
        }
    }
    [[nodiscard]] std::uint64_t first() const
    {
        return m_first;
    }
    [[nodiscard]] std::uint64_t end() const
    {
        return m_first + m_records.size();
    }
    [[nodiscard]] json::object page(std::uint64_t from, std::uint64_t limit) const
    {
        json::array records;
        for (std::uint64_t offset = from; offset < end() && records.size() < limit; ++offset) {
            records.push_back({{"offset", offset}, {"data", m_records[offset - m_first]}});
        }
        const std::uint64_t next = records.empty() ? end() : from + records.size();
        return {{"records", std::move(records)}, {"first", m_first}, {"next", next}};
    }

    /** Returns when a record is appended, at the time `until`, or when another reader of the stream times out. */
    static asio::awaitable<void> waitForChange(std::shared_ptr<Stream> stream, Clock::time_point until)
    {
        asio::steady_timer limit(co_await asio::this_coro::executor, until);
        limit.async_wait([stream](const boost::system::error_code &ec) {
            if (!ec) {
                stream->m_changed.cancel();
            }
        });
        co_await stream->m_changed.async_wait(UseTuple);
        limit.cancel();
    }

private:
    std::uint64_t m_first = 0;
    std::deque<std::string> m_records;
    asio::steady_timer m_changed; ///< Never expires; cancelling it wakes all waiting readers.
};
using StreamPtr = std::shared_ptr<Stream>;

/** @brief All streams, with the limits and faults in effect. Not thread-safe. */
class FakeLog
{
public:
    explicit FakeLog(asio::any_io_executor executor)
        : m_executor(std::move(executor))
    {
    }

    [[nodiscard]] const Control &control() const
    {
        return m_control;
    }

    StreamPtr stream(const std::string &name)
    {
        auto &stream = m_streams[name];
        if (!stream) {
            stream = std::make_shared<Stream>(m_executor);
        }
        return stream;
    }

    /** @return Whether the token bucket of the append rate, which holds one second of appends, had a token. */
    bool takeRateToken(Clock::time_point now)
    {
        if (m_control.ratePerSecond <= 0) {
            return true;
        }
        const double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
        m_tokens = std::min(m_tokens + seconds * m_control.ratePerSecond, std::max(1.0, m_control.ratePerSecond));
        m_refilledAt = now;
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

    bool takeResponseDrop()
    {
        if (m_control.responsesToDrop == 0) {
            return false;
        }
        --m_control.responsesToDrop;
        return true;
    }

    /** Throws on unknown members and wrong types, and then changes nothing. */
    void applyControl(const json::object &change)
    {
        Control control = m_control;
        const json::value *drop = nullptr;
        for (const auto &[name, value] : change) {
            if (name == "rate_per_s") {
                control.ratePerSecond = value.to_number<double>();
            } else if (name == "stall_ms") {
                control.stall = std::chrono::milliseconds(value.to_number<std::uint32_t>());
            } else if (name == "refuse") {
                control.isRefusing = value.as_bool();
            } else if (name == "lose_answers") {
                control.responsesToDrop = value.to_number<std::uint64_t>();
            } else if (name == "drop_before") {
                drop = &value;
            } else {
                throw std::invalid_argument("unknown member " + std::string(name));
            }
        }
        if (drop != nullptr) {
            dropBefore(*drop);
        }
        m_control = control;
    }

    [[nodiscard]] json::object controlJson() const
    {
        return {{"rate_per_s", m_control.ratePerSecond},
                {"stall_ms", m_control.stall.count()},
                {"refuse", m_control.isRefusing},
                {"lose_answers", m_control.responsesToDrop}};
    }

private:
    void dropBefore(const json::value &value)
    {
        if (const json::object *object = value.if_object()) {
            const auto offset = object->at("offset").to_number<std::uint64_t>();
            stream(std::string(object->at("stream").as_string()))->dropBefore(offset);
            return;
        }
        const auto offset = value.to_number<std::uint64_t>();
        for (auto &[name, stream] : m_streams) {
            stream->dropBefore(offset);
        }
    }

    asio::any_io_executor m_executor;
    std::map<std::string, StreamPtr> m_streams;
    Control m_control;
    double m_tokens = 0;
    Clock::time_point m_refilledAt{};
};

Response jsonResponse(const Request &request, http::status status, const json::value &body)
{
    Response response(status, request.version());
    response.set(http::field::content_type, "application/json");
    response.keep_alive(request.keep_alive());
    response.body() = json::serialize(body);
    response.prepare_payload();
    return response;
}

Response errorResponse(const Request &request, http::status status, const std::string &detail)
{
    return jsonResponse(request, status, json::object{{"detail", detail}});
}

std::uint64_t numberParameter(const boost::urls::url_view &url, std::string_view name, std::uint64_t fallback)
{
    const auto parameters = url.params();
    const auto found = parameters.find(name);
    return found == parameters.end() ? fallback : std::stoull((*found).value);
}

/** @return NAME of the path /streams/NAME/records, or nothing for any other path. */
std::optional<std::string> streamName(const boost::urls::url_view &url)
{
    const auto segments = url.segments();
    if (segments.size() != 3) {
        return std::nullopt;
    }
    auto segment = segments.begin();
    if (*segment != "streams" || *std::next(segment, 2) != "records") {
        return std::nullopt;
    }
    return std::string(*std::next(segment));
}

Response handleControl(FakeLog &log, const Request &request)
{
    if (request.method() == http::verb::put) {
        try {
            log.applyControl(json::parse(request.body()).as_object());
        } catch (const std::exception &error) {
            return errorResponse(request, http::status::bad_request, error.what());
        }
    }
    return jsonResponse(request, http::status::ok, log.controlJson());
}

/** @return Nothing if the response is to be dropped. */
std::optional<Response> handleAppend(FakeLog &log, const Request &request, const std::string &name)
{
    if (!log.takeRateToken(Clock::now())) {
        return errorResponse(request, http::status::too_many_requests, "append rate exceeded");
    }
    const std::uint64_t offset = log.stream(name)->append(request.body());
    if (log.takeResponseDrop()) {
        return std::nullopt;
    }
    return jsonResponse(request, http::status::ok, json::object{{"offset", offset}});
}

asio::awaitable<Response> handleRead(FakeLog &log, const Request &request, std::string name, boost::urls::url url)
{
    const std::uint64_t from = numberParameter(url, "from", 0);
    const std::uint64_t limit = std::min<std::uint64_t>(numberParameter(url, "limit", MaxPageRecords), MaxPageRecords);
    const auto until = Clock::now() + std::chrono::milliseconds(numberParameter(url, "wait_ms", 0));
    const StreamPtr stream = log.stream(name);
    while (from >= stream->end() && Clock::now() < until && !log.control().isRefusing) {
        co_await Stream::waitForChange(stream, until);
    }
    if (from < stream->first()) {
        co_return jsonResponse(request, http::status::gone, json::object{{"first", stream->first()}});
    }
    co_return jsonResponse(request, http::status::ok, stream->page(from, limit));
}

asio::awaitable<std::optional<Response>> handle(FakeLog &log, const Request &request)
{
    const auto parsed = boost::urls::parse_origin_form(request.target());
    if (!parsed) {
        co_return errorResponse(request, http::status::bad_request, "target");
    }
    const boost::urls::url url(*parsed);
    if (url.path() == "/control") {
        co_return handleControl(log, request);
    }
    if (log.control().stall.count() > 0) {
        asio::steady_timer stall(co_await asio::this_coro::executor, log.control().stall);
        co_await stall.async_wait(UseTuple);
    }
    if (log.control().isRefusing) {
        co_return errorResponse(request, http::status::service_unavailable, "refusing by control");
    }
    const auto name = streamName(url);
    if (!name) {
        co_return errorResponse(request, http::status::not_found, "no such resource");
    }
    if (request.method() == http::verb::post) {
        co_return handleAppend(log, request, *name);
    }
    if (request.method() != http::verb::get) {
        co_return errorResponse(request, http::status::method_not_allowed, "method");
    }
    co_return co_await handleRead(log, request, *name, url);
}

asio::awaitable<std::optional<Response>> handleSafely(FakeLog &log, const Request &request)
{
    std::string failure;
    try {
        co_return co_await handle(log, request);
    } catch (const std::exception &error) {
        failure = error.what();
    }
    co_return errorResponse(request, http::status::bad_request, failure);
}

asio::awaitable<void> serve(FakeLog &log, tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(MaxBodyBytes);
        const auto [readError, received] = co_await http::async_read(stream, buffer, parser, UseTuple);
        if (readError) {
            co_return;
        }
        const Request request = parser.release();
        const auto response = co_await handleSafely(log, request);
        if (!response) {
            co_return; // Closes the connection without a response.
        }
        const auto [writeError, written] = co_await http::async_write(stream, *response, UseTuple);
        if (writeError || !request.keep_alive()) {
            co_return;
        }
    }
}

asio::awaitable<void> acceptLoop(FakeLog &log, tcp::acceptor &acceptor)
{
    for (;;) {
        auto [ec, socket] = co_await acceptor.async_accept(UseTuple);
        if (ec) {
            co_return;
        }
        socket.set_option(tcp::no_delay(true), ec);
        asio::co_spawn(acceptor.get_executor(), serve(log, std::move(socket)), asio::detached);
    }
}

void run(const std::string &address, std::uint16_t port)
{
    asio::io_context context(1);
    FakeLog log(context.get_executor());
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::make_address(address), port));
    std::cout << "listening " << acceptor.local_endpoint().port() << std::endl;
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &, int) { context.stop(); });
    asio::co_spawn(context, acceptLoop(log, acceptor), asio::detached);
    context.run();
}

}

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    try {
        options::options_description description("berylspring-fakelog");
        description.add_options()("help", "print this text")(
            "address", options::value<std::string>()->default_value("127.0.0.1"), "IP number to listen on")(
            "port", options::value<std::uint16_t>()->default_value(0), "TCP port, 0 for a free one");
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
        run(values["address"].as<std::string>(), values["port"].as<std::uint16_t>());
    } catch (const std::exception &error) {
        std::cerr << "berylspring-fakelog: " << error.what() << '\n';
        return 2;
    }
}
