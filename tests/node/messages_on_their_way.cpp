#include "berylspring/admission/admission_service.h"
#include "berylspring/http/messages.h"
#include "berylspring/node/dispatcher.h"
#include "platform/caller_codec.h"
#include "platform/endpoint_codec.h"
#include "support/section.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::section;

namespace {

namespace asio = boost::asio;

const core::HostId Self("h1");
const core::DataCentreId DataCentre("a");
const core::ServiceId Service("deep");

/** @brief Addresses of the bytes of a message, which are others in a copy. */
struct Bytes
{
    const void *body = nullptr;
    const void *header = nullptr;
    [[nodiscard]] bool operator==(const Bytes &) const = default;
};

template<typename Message>
Bytes bytesOf(const Message &message)
{
    return {message->body.data(), message->headers.front().value.data()};
}

wire::CallRequest request()
{
    return wire::CallRequest({.service = Service,
                              .method = "GET",
                              .target = "/history/1",
                              .headers = {{"X-Note", std::string(100, 'h')}},
                              .body = std::string(500, 'b'),
                              .isNested = true,
                              .remaining = 700ms});
}

}

TEST_GROUP(MessagesOnTheirWay)
{
    asio::io_context context;
    core::TimePoint now{1h};
    std::optional<Bytes> requestAtEndpoint;
    std::optional<Bytes> answerOfEndpoint;
    std::shared_ptr<admission::AdmissionService> admission = makeAdmission();
    node::Dispatcher dispatcher{Self, DataCentre, true, dispatcherHooks()};

    std::shared_ptr<admission::AdmissionService> makeAdmission()
    {
        const admission::AdmissionSettings settings;
        auto service = std::make_shared<admission::AdmissionService>(
            context.get_executor(),
            settings,
            admission::AdmissionHooks{
                .endpointCall = [this](wire::CallRequest call) { return answer(std::move(call)); },
                .now = [this] { return now; },
                .random = core::systemRandom(),
                .isKeyWithdrawn = [](const core::Digest &) { return false; },
                .weightOf = [](const core::WorkspaceId &) { return 1.0; },
                .crashed = [](const admission::CrashReport &) {}},
            std::make_shared<admission::AdmissionHistory>(settings));
        service->setSlots(4);
        return service;
    }

    asio::awaitable<admission::EndpointResult> answer(wire::CallRequest call)
    {
        requestAtEndpoint = bytesOf(call);
        now += 10ms;
        wire::CallResponse response(
            {.status = 200, .headers = {{"X-Note", std::string(100, 'h')}}, .body = std::string(500, 'b')});
        answerOfEndpoint = bytesOf(response);
        co_return admission::EndpointResult{.response = std::move(response)};
    }

    node::DispatcherHooks dispatcherHooks()
    {
        auto views = std::make_shared<const node::EndpointViews>(node::EndpointViews{routing::EndpointView(
            {.host = Self, .dataCentre = DataCentre, .service = Service, .slots = 4, .reportedAt = now})});
        return {.runLocally = [this](wire::CallRequest call) { return admission->run(std::move(call)); },
                .endpoints = [views = std::move(views)](const core::ServiceId &) { return views; },
                .now = [this] { return now; },
                .random = core::systemRandom(),
                .retried = [] {}};
    }

    wire::CallResponse run(asio::awaitable<wire::CallResponse> work)
    {
        wire::CallResponse response;
        asio::co_spawn(context, std::move(work), [&](const std::exception_ptr &, wire::CallResponse value) {
            response = std::move(value);
        });
        context.run();
        context.restart();
        return response;
    }
};

// Guards against nodes that spend their processor time on copies of messages and serve less than their endpoints could
// (SHORT).
TEST(MessagesOnTheirWay, areNotCopied)
{
    section("from a peer through the admission to the endpoint and back", [&] {
        wire::CallRequest call = request();
        const Bytes sent = bytesOf(call);
        const wire::CallResponse response = run(admission->run(std::move(call)));
        CHECK(requestAtEndpoint == sent);
        CHECK(bytesOf(response) == *answerOfEndpoint);
    });
    section("from the endpoint through the dispatcher", [&] {
        const wire::CallResponse response = run(dispatcher.dispatch(request()));
        CHECK(bytesOf(response) == *answerOfEndpoint);
    });
    section("into a request to the endpoint", [&] {
        wire::CallRequest call = request();
        const Bytes sent = bytesOf(call);
        CHECK(bytesOf(platform::encodeEndpointCall({std::move(call), "i-1", "token", "trace"})) == sent);
    });
    section("out of the endpoint's response, and into the response to the caller", [&] {
        http::Response response({.status = 200,
                                 .headers = {{"X-Note", std::string(100, 'h')},
                                             {"Berylspring-Request-Id", "1"},
                                             {"Berylspring-Response-Stamp", "s"}},
                                 .body = std::string(500, 'b')});
        const Bytes received = bytesOf(response);
        auto decoded = platform::decodeEndpointResponse(std::move(response));
        CHECK(decoded.has_value());
        CHECK(bytesOf(*decoded) == received);
        CHECK(bytesOf(platform::encodeResponse(std::move(*decoded), http::Request())) == received);
    });
}
