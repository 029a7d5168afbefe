#include "berylspring/admission/admission_service.h"
#include "support/section.h"

#include <atomic>
#include <chrono>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
namespace asio = boost::asio;
using Strand = asio::strand<asio::io_context::executor_type>;

namespace {

constexpr std::uint32_t SlotCount = 4;
constexpr int CallCount = 2000;
constexpr int ThreadCount = 4;

/** @brief Counters of the endpoint and the callers. */
struct Tally
{
    std::atomic<std::uint32_t> running{0};
    std::atomic<std::uint32_t> mostRunning{0};
    std::atomic<std::uint64_t> started{0};
    std::atomic<int> answered{0};
    std::atomic<int> notRun{0};
    std::atomic<int> unknown{0};
};

asio::awaitable<admission::EndpointResult> runOnEndpoint(Tally *tally, wire::CallRequest)
{
    ++tally->started;
    const std::uint32_t running = ++tally->running;
    std::uint32_t most = tally->mostRunning;
    while (most < running && !tally->mostRunning.compare_exchange_weak(most, running)) { }
    const auto executor = co_await asio::this_coro::executor;
    co_await asio::post(executor, asio::use_awaitable);
    --tally->running;
    wire::CallResponseFields fields;
    fields.status = 200;
    admission::EndpointResult result;
    result.response = wire::CallResponse(std::move(fields));
    co_return result;
}

asio::awaitable<void> sendOne(admission::AdmissionService *service, Tally *tally, wire::CallRequest request)
{
    const auto response = co_await service->run(std::move(request));
    if (!response->refusal) {
        ++tally->answered;
    } else if (response->refusal->outcome() == core::Outcome::NotRun) {
        ++tally->notRun;
    } else {
        ++tally->unknown;
    }
}

admission::AdmissionHooks hooksFor(Tally &tally)
{
    admission::AdmissionHooks hooks;
    hooks.endpointCall = [&tally](wire::CallRequest request) { return runOnEndpoint(&tally, std::move(request)); };
    hooks.now = [] { return std::chrono::steady_clock::now(); };
    hooks.random = core::systemRandom();
    hooks.isKeyWithdrawn = [](const core::Digest &) { return false; };
    hooks.weightOf = [](const core::WorkspaceId &) { return 1.0; };
    hooks.crashed = [](const admission::CrashReport &) {};
    return hooks;
}

wire::CallRequest callNumber(int number)
{
    wire::CallRequestFields fields;
    fields.target = "/" + std::to_string(number);
    fields.workspace = core::WorkspaceId("w" + std::to_string(number % 5));
    fields.priority = static_cast<core::PriorityLevel>(number % 8);
    fields.remaining = std::chrono::hours(1);
    return wire::CallRequest(std::move(fields));
}

}

TEST_GROUP(ManyThreadsShareAnEndpoint){};

// Guards against a lost wake-up, a slot granted twice and a slot never released; under TSan also against data races.
TEST(ManyThreadsShareAnEndpoint, withoutLosingAPlaceOrARequest)
{
    asio::io_context io;
    Tally tally;
    admission::AdmissionSettings settings;
    settings.targetWait = std::chrono::hours(1);
    const auto history = std::make_shared<admission::AdmissionHistory>(settings);
    admission::AdmissionService service(io.get_executor(), settings, hooksFor(tally), history);
    service.setSlots(SlotCount);

    std::vector<Strand> strands;
    std::vector<asio::cancellation_signal> cancellations(CallCount);
    for (int i = 0; i < CallCount; ++i) {
        strands.push_back(asio::make_strand(io));
        asio::co_spawn(strands.back(),
                       sendOne(&service, &tally, callNumber(i)),
                       asio::bind_cancellation_slot(cancellations[i].slot(), asio::detached));
    }
    for (int i = 0; i < CallCount; i += 3) {
        asio::post(strands[i], [&, i] { cancellations[i].emit(asio::cancellation_type::terminal); });
    }
    bool isIdle = false;
    asio::post(io, [&] {
        asio::co_spawn(
            io, service.idle(), asio::bind_executor(strands[0], [&](const std::exception_ptr &) { isIdle = true; }));
    });
    {
        std::vector<std::jthread> threads;
        for (int t = 0; t < ThreadCount; ++t) {
            threads.emplace_back([&] { io.run(); });
        }
    }
    CHECK(tally.mostRunning <= SlotCount);
    LONGS_EQUAL(0, service.state()->running);
    LONGS_EQUAL(0, service.state()->queued);
    CHECK(isIdle);
    // A cancelled coroutine may end before it counts its response, so only the started calls are counted exactly.
    CHECK(tally.answered > 0);
    CHECK(tally.answered + tally.notRun + tally.unknown <= CallCount);
    CHECK(tally.answered + tally.notRun + tally.unknown >= CallCount - (CallCount + 2) / 3);
    LONGS_EQUAL(tally.started, service.state()->counters.started);
}
