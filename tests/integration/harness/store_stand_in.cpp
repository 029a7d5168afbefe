#include "integration/harness/store_stand_in.h"

#include <chrono>
#include <set>

#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <boost/system/system_error.hpp>
#include <openssl/evp.h>

namespace berylspring::test {

namespace {

namespace asio = boost::asio;

constexpr auto PollInterval = std::chrono::milliseconds(10);

std::string bigEndian(std::uint64_t number, int bytes)
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        text.push_back(static_cast<char>((number >> static_cast<unsigned>(shift)) & 0xffU));
    }
    return text;
}

std::string base64(const std::string &bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                       reinterpret_cast<const unsigned char *>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

http::Response withEra(const http::Response &response, std::uint64_t era)
{
    http::ResponseFields fields = *response;
    fields.headers.push_back({"Store-Era", std::to_string(era)});
    return http::Response(std::move(fields));
}

}

StoreStandIn::StoreStandIn(asio::any_io_executor executor)
    : m_server(std::move(executor), {}, [this](http::Request request) { return answer(std::move(request)); })
    , m_port(m_server.listen("127.0.0.1", 0).value())
{
}

StoreStandIn::~StoreStandIn()
{
    m_server.close();
}

void StoreStandIn::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::scoped_lock lock(m_mutex);
    m_topics[topic].records.push_back({key, value});
}

void StoreStandIn::compact(const std::string &topic)
{
    const std::scoped_lock lock(m_mutex);
    m_topics[topic].first = m_topics[topic].records.size();
}

StoreStandIn::Topics StoreStandIn::copy()
{
    const std::scoped_lock lock(m_mutex);
    return m_topics;
}

void StoreStandIn::restore(const Topics &copy)
{
    const std::scoped_lock lock(m_mutex);
    m_topics = copy;
    ++m_era;
}

void StoreStandIn::requireEra(std::uint64_t era) const
{
    if (m_era != era) {
        // The server sends no response to a request whose handler was cancelled and closes the connection.
        throw boost::system::system_error(asio::error::operation_aborted);
    }
}

asio::awaitable<http::Reply> StoreStandIn::answer(http::Request request)
{
    const std::uint64_t era = m_era;
    if (m_isUnavailable) {
        co_return withEra(http::jsonResponse(503, "{}"), era);
    }
    const http::Response response = co_await execute(request, era);
    const std::chrono::milliseconds delay = m_delay;
    if (delay > std::chrono::milliseconds::zero()) {
        asio::steady_timer timer(co_await asio::this_coro::executor, delay);
        co_await timer.async_wait(asio::use_awaitable);
    }
    requireEra(era);
    co_return withEra(response, era);
}

asio::awaitable<http::Response> StoreStandIn::execute(http::Request request, std::uint64_t era)
{
    const std::string_view path = http::pathOf(request->target);
    if (path == "/api/log-read") {
        const http::Response response = co_await read(request, era);
        co_return response;
    }
    if (path == "/api/log-newest") {
        co_return newest(request);
    }
    if (path == "/api/log-append") {
        co_return append(request);
    }
    co_return http::jsonResponse(404, "{}");
}

asio::awaitable<http::Response> StoreStandIn::read(http::Request request, std::uint64_t era)
{
    const std::string name = http::queryParameter(request->target, "Topic");
    const std::uint64_t from = std::stoull("0" + http::queryParameter(request->target, "From"));
    const std::uint64_t waitMs = std::stoull("0" + http::queryParameter(request->target, "WaitMs"));
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(waitMs);
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (true) {
        {
            const std::scoped_lock lock(m_mutex);
            requireEra(era);
            const Topic &topic = m_topics[name];
            if (from < topic.first || from > topic.records.size()) {
                co_return http::jsonResponse(410, R"({"First":)" + std::to_string(topic.first) + "}");
            }
            if (from < topic.records.size() || std::chrono::steady_clock::now() >= until) {
                std::string body = bigEndian(topic.records.size(), 8) + bigEndian(topic.first, 8);
                for (std::size_t offset = from; offset < topic.records.size(); ++offset) {
                    const Record &record = topic.records[offset];
                    const std::string content = bigEndian(record.key.size(), 1) + record.key + record.value;
                    body += bigEndian(content.size(), 4) + content;
                }
                co_return http::Response({.status = 200, .body = std::move(body)});
            }
        }
        timer.expires_after(PollInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

http::Response StoreStandIn::append(const http::Request &request)
{
    const std::string &body = request->body;
    const std::size_t keyLength = static_cast<unsigned char>(body.at(4));
    const std::string topic = http::queryParameter(request->target, "Topic");
    put(topic, body.substr(5, keyLength), body.substr(5 + keyLength));
    const std::scoped_lock lock(m_mutex);
    const std::size_t end = m_topics[topic].records.size();
    return http::jsonResponse(200, boost::json::serialize(boost::json::object{{"Offset", end - 1}, {"End", end}}));
}

http::Response StoreStandIn::newest(const http::Request &request)
{
    const std::scoped_lock lock(m_mutex);
    const Topic &topic = m_topics[http::queryParameter(request->target, "Topic")];
    std::set<std::string> seen;
    boost::json::array items;
    for (std::size_t offset = topic.records.size(); offset-- > 0;) {
        const Record &record = topic.records[offset];
        if (seen.insert(record.key).second) {
            items.push_back(
                boost::json::object{{"Key", record.key}, {"Value", base64(record.value)}, {"Offset", offset}});
        }
    }
    return http::jsonResponse(200,
                              boost::json::serialize(boost::json::object{
                                  {"items", std::move(items)}, {"HasMore", false}, {"End", topic.records.size()}}));
}

}
