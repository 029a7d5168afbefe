#include "berylspring/config/config_service.h"
#include "berylspring/http/server.h"
#include "platform/store_log.h"
#include "support/section.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <openssl/evp.h>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::section;

namespace {

namespace asio = boost::asio;

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

/** @brief A node that follows a store with the given documents, all run by one thread. */
class FollowedStore
{
public:
    FollowedStore()
        : m_server(m_context.get_executor(), {}, [this](http::Request request) { return answer(std::move(request)); })
    {
        const std::string address = "127.0.0.1:" + std::to_string(m_server.listen("127.0.0.1", 0).value());
        config::ConfigHooks hooks;
        hooks.log = platform::makeStoreLog(m_context.get_executor(),
                                           node::Settings({.host = core::HostId("h1"), .logAddress = address}));
        hooks.now = [] { return std::chrono::steady_clock::now(); };
        hooks.random = [this] { return m_random += 0x9e3779b97f4a7c15ULL; };
        hooks.isReader = [] { return true; };
        hooks.peers = [] { return std::vector<core::HostId>(); };
        hooks.report = [this](std::string text) { reports.push_back(std::move(text)); };
        const config::ConfigSettings settings{
            .longPoll = 0s, .proofFallback = 1h, .isLogWritable = false, .retryDelay = 1ms};
        service = std::make_unique<config::ConfigService>(m_context.get_executor(), settings, std::move(hooks));
        service->start();
    }
    ~FollowedStore()
    {
        service.reset();
        m_server.close();
        m_context.restart();
        m_context.run();
    }
    FollowedStore(const FollowedStore &) = delete;
    FollowedStore &operator=(const FollowedStore &) = delete;

    void until(const std::function<bool()> &condition)
    {
        while (!condition()) {
            m_context.restart();
            CHECK_TRUE(m_context.run_one() > 0);
        }
    }
    /** @return Whether a read that is sent from now on proves the configuration before the node reports a fault. */
    bool isProvenAgain()
    {
        const core::TimePoint start = std::chrono::steady_clock::now();
        reports.clear();
        until([&] { return service->provenAt() > start || !reports.empty(); });
        return service->provenAt() > start;
    }

    std::vector<std::string> documents;
    bool isDown = false;
    std::vector<std::string> reports;
    std::unique_ptr<config::ConfigService> service;

private:
    asio::awaitable<http::Reply> answer(http::Request request)
    {
        http::Response response = isDown ? http::jsonResponse(503, "{}") : answerNow(request);
        co_return response.with(&http::ResponseFields::headers, wire::Headers{{"Store-Era", "1"}});
    }

    http::Response answerNow(const http::Request &request) const
    {
        const std::uint64_t end = documents.size();
        if (http::pathOf(request->target) == "/api/log-newest") {
            boost::json::array items;
            if (end > 0) {
                items.push_back(
                    boost::json::object{{"Key", "config"}, {"Value", base64(documents.back())}, {"Offset", end - 1}});
            }
            return http::jsonResponse(200,
                                      boost::json::serialize(boost::json::object{
                                          {"items", std::move(items)}, {"HasMore", false}, {"End", end}}));
        }
        std::string body = bigEndian(end, 8) + bigEndian(0, 8);
        for (std::size_t i = std::stoull(http::queryParameter(request->target, "From")); i < end; ++i) {
            const std::string content = "\x06" + std::string("config") + documents[i];
            body += bigEndian(content.size(), 4) + content;
        }
        return http::Response({.status = 200, .body = std::move(body)});
    }

    asio::io_context m_context;
    std::uint64_t m_random = 0;
    http::Server m_server;
};

std::string document(int version)
{
    return R"({"Version":)" + std::to_string(version) + R"(,"Tenants":[],"VirtualHosts":[]})";
}

}

TEST_GROUP(AConfigurationThatCannotBeRead){};

// Guards against a node that takes the store for a changed history, and no longer proves its configuration, because the
// newest document cannot be read.
TEST(AConfigurationThatCannotBeRead, leavesTheOneBeforeInForce)
{
    FollowedStore store;
    store.documents.push_back(document(7));
    store.until([&] { return store.service->catalogue()->appliedOffset() == 8 * 65'536 + 1; });
    store.documents.emplace_back("not a document");
    section("the node still proves its configuration", [&] { CHECK_TRUE(store.isProvenAgain()); });
    section("also after the store could not be read", [&] {
        store.isDown = true;
        store.until([&] { return !store.reports.empty(); });
        store.isDown = false;
        CHECK_TRUE(store.isProvenAgain());
        CHECK_TRUE(store.reports.empty());
        CHECK_FALSE(store.service->isLogBehind());
    });
    section("the next document that can be read is applied", [&] {
        store.documents.push_back(document(9));
        store.until([&] { return store.service->catalogue()->appliedOffset() == 10 * 65'536 + 1; });
    });
}
