#include "node/span_export.h"

#include "berylspring/http/client.h"
#include "berylspring/telemetry/log.h"
#include "node/background.h"

#include <fstream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace berylspring::node::detail {

namespace {

namespace asio = boost::asio;

constexpr auto ExportInterval = std::chrono::seconds(1);
constexpr auto ExportTimeout = std::chrono::seconds(2);

asio::awaitable<void> exportSpans(SpanTarget target, std::weak_ptr<telemetry::SpanBuffer> weakBuffer)
{
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor);
    http::Client collector(executor, target.otlpAddress);
    while (true) {
        timer.expires_after(ExportInterval);
        co_await timer.async_wait(asio::use_awaitable);
        const std::shared_ptr<telemetry::SpanBuffer> buffer = weakBuffer.lock();
        if (!buffer) {
            co_return;
        }
        const std::vector<telemetry::Span> spans = buffer->takeAll();
        if (spans.empty()) {
            continue;
        }
        const std::string json = telemetry::otlpJson(target.host, spans);
        if (!target.file.empty()) {
            // One write for the whole line, because several nodes may append to the same file.
            std::ofstream(target.file, std::ios::app) << json + '\n';
        }
        if (!target.otlpAddress.empty()) {
            const http::Request request({.method = "POST",
                                         .target = "/v1/traces",
                                         .headers = {{"Content-Type", "application/json"}},
                                         .body = json});
            const auto response = co_await collector.send(request, ExportTimeout);
            if (!response) {
                telemetry::log(
                    telemetry::Severity::Warning,
                    "failed to export spans",
                    {{"count", static_cast<std::int64_t>(spans.size())}, {"error", response.error().detail()}});
            }
        }
    }
}

}

void startSpanExport(const asio::any_io_executor &executor,
                     SpanTarget target,
                     const std::shared_ptr<telemetry::SpanBuffer> &buffer)
{
    if (!target.otlpAddress.empty() || !target.file.empty()) {
        asio::co_spawn(executor, exportSpans(std::move(target), buffer), logFailure("export of spans"));
    }
}

}
