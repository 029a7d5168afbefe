#pragma once

#include "berylspring/config/log_record.h"
#include "berylspring/core/types.h"
#include "berylspring/node/entry.h"
#include "berylspring/node/stop_schedule.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

namespace berylspring::test {

inline constexpr const char *Withdrawn = "withdrawn-key";
inline constexpr core::Duration DenialStaleness = std::chrono::seconds(3);

inline config::Catalogue catalogueWithRoutes()
{
    config::Catalogue catalogue;
    const auto add =
        [&](core::Offset offset, config::ResourceType type, const std::string &name, const std::string &body) {
            const config::LogRecord record(
                {.operationId = "op-" + std::to_string(offset), .type = type, .name = name, .body = body});
            catalogue = catalogue.withRecord(offset, config::toJson(record)).catalogue;
        };
    add(1, config::ResourceType::Priority, "normal", R"({"level":3})");
    add(2, config::ResourceType::Route, "visits", R"({"prefix":"/visits","service":"visits","priority":"normal"})");
    add(3,
        config::ResourceType::Route,
        "prices",
        R"({"prefix":"/prices","service":"prices","priority":"normal","is_open":true})");
    add(4,
        config::ResourceType::Route,
        "ledger",
        R"({"prefix":"/ledger","service":"ledger","priority":"normal","is_open":true,"is_internal":true})");
    return catalogue;
}

/** @brief An entry on one thread, without a rate limit, and with a clock and an endpoint that the test controls. */
class EntryHarness
{
public:
    explicit EntryHarness(std::optional<config::Catalogue> catalogue)
        : m_entry(inFlight, m_metrics, {.denialStaleness = DenialStaleness}, hooks(std::move(catalogue)))
    {
    }

    node::InFlightTable inFlight{core::systemRandom()};
    core::Duration configurationAge{};
    core::TimePoint now{};
    std::optional<node::StopSchedule> stopSchedule;
    core::Duration callTime{}; ///< Time after which the endpoint answers; zero: there is no endpoint.
    core::Duration lastRemaining{}; ///< Time that was left for the last request that was passed on.
    core::Duration lastAnswerGrace{}; ///< Its time for an answer after that.
    core::Duration lastRootRemaining{}; ///< Time of its root, if the entry passed it on.
    double pace = 0; ///< Reported by the endpoint; zero: no report.

    wire::CallResponse call(const http::CallerRequest &request)
    {
        auto response = boost::asio::co_spawn(m_context, m_entry.call(request), boost::asio::use_future);
        m_context.restart();
        m_context.run();
        return response.get();
    }
    core::Refusal refusalOf(const http::CallerRequest &request)
    {
        return call(request)->refusal.value();
    }

private:
    node::EntryHooks hooks(std::optional<config::Catalogue> catalogue)
    {
        node::EntryHooks hooks;
        std::shared_ptr<const config::Catalogue> shared;
        if (catalogue) {
            shared = std::make_shared<const config::Catalogue>(std::move(*catalogue));
        }
        hooks.catalogue = [shared] { return shared; };
        hooks.isKeyWithdrawn = [](const core::Digest &digest) { return digest == core::sha256(Withdrawn); };
        hooks.configurationAge = [this] { return configurationAge; };
        hooks.stopSchedule = [this] { return stopSchedule; };
        hooks.now = [this] { return now; };
        hooks.dispatch = [this](wire::CallRequest call) -> boost::asio::awaitable<wire::CallResponse> {
            lastRemaining = call->remaining;
            lastAnswerGrace = call->answerGrace;
            lastRootRemaining = call->rootRemaining;
            if (callTime > core::Duration::zero()) {
                now += callTime;
                co_return wire::CallResponse({.status = 200, .pace = pace});
            }
            co_return wire::CallResponse(
                {.refusal = core::Refusal(core::RefusalReason::NoEndpoint, core::Outcome::NotRun)});
        };
        hooks.random = core::systemRandom();
        hooks.spans = [](const telemetry::Span &) {};
        return hooks;
    }

    telemetry::Metrics m_metrics;
    boost::asio::io_context m_context;
    node::Entry m_entry;
};

}
