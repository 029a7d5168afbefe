#include "node/announcer.h"

#include "berylspring/core/ip_address.h"
#include "berylspring/telemetry/log.h"
#include "node/json_text.h"
#include "node/log_reader.h"

#include <limits>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace berylspring::node::detail {

namespace {

namespace asio = boost::asio;

const std::string Stream = "announce";
constexpr core::Duration RefreshInterval = std::chrono::minutes(10);
/** Interval between attempts while the log does not answer. */
constexpr core::Duration RetryInterval = std::chrono::seconds(2);
/** Least interval between attempts; bounds the calls of a node that the log answers only in part. */
constexpr core::Duration MinRetryInterval = std::chrono::milliseconds(500);
/** Interval at which the state of the log is checked after a failed attempt. */
constexpr core::Duration CheckInterval = std::chrono::milliseconds(100);

std::string toJson(const wire::MemberUpdate &member)
{
    return boost::json::serialize(boost::json::object{{"host", member->host.value()},
                                                      {"data_centre", member->dataCentre.value()},
                                                      {"address", member->address},
                                                      {"port", member->port}});
}

/** @return The announced host, or a description of the error. */
tl::expected<wire::MemberUpdate, std::string> fromJson(const std::string &data)
{
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(data, error);
    if (error || !value.is_object()) {
        return tl::unexpected<std::string>("not a JSON object");
    }
    const auto text = [&](std::string_view name) { return textOf(value.as_object(), name); };
    const boost::json::value *port = value.as_object().if_contains("port");
    constexpr std::int64_t MaxPort = std::numeric_limits<std::uint16_t>::max();
    const bool isPort = port != nullptr && port->is_int64() && port->as_int64() > 0 && port->as_int64() <= MaxPort;
    if (!core::isValidName(text("host")) || !core::isValidName(text("data_centre"))) {
        return tl::unexpected<std::string>("host or data_centre is not a name");
    }
    if (!isPort || !core::parseHostAddress(text("address"))) {
        return tl::unexpected<std::string>("address is not an IP number, or port is not a number from 1 to 65535");
    }
    return wire::MemberUpdate({.host = core::HostId(text("host")),
                               .dataCentre = core::DataCentreId(text("data_centre")),
                               .address = text("address"),
                               .port = static_cast<std::uint16_t>(port->as_int64())});
}

void addContact(const AnnouncerHooks &hooks, const eventlog::LogEntry &record)
{
    if (const auto member = fromJson(record.data)) {
        hooks.addContact(*member);
    } else if (!record.data.empty()) {
        telemetry::log(telemetry::Severity::Warning,
                       "invalid announcement ignored",
                       {{"offset", static_cast<std::int64_t>(record.offset)}, {"error", member.error()}});
    }
}

}

bool isAttemptDue(const Attempt &last, const LogView &log, core::TimePoint now)
{
    const core::Duration age = now - last->at;
    if (last->hasSucceeded) {
        return age >= (log->generation == last->generation ? RefreshInterval : RetryInterval);
    }
    const bool hasAnsweredSince = log->lastContact && *log->lastContact > last->at;
    return age >= (hasAnsweredSince ? MinRetryInterval : RetryInterval);
}

asio::awaitable<void> announceThroughLog(AnnouncerHooks hooks)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    StreamPosition position;
    while (!hooks.isStopping()) {
        const std::uint64_t generation = hooks.logGeneration();
        // Appends before it reads, so that of two hosts that start together the second one in the log finds the first.
        const auto appended = co_await hooks.log.append(Stream, toJson(hooks.self()));
        const bool hasRead = co_await readToEnd(
            hooks.log, Stream, position, [&](const eventlog::LogEntry &record) { addContact(hooks, record); });
        if (appended && hasRead) {
            hooks.onRead();
        }
        const Attempt last({.at = hooks.now(), .generation = generation, .hasSucceeded = appended && hasRead});
        do {
            timer.expires_after(last->hasSucceeded ? RetryInterval : CheckInterval);
            co_await timer.async_wait(asio::use_awaitable);
        } while (!isAttemptDue(last, LogView({hooks.lastLogContact(), hooks.logGeneration()}), hooks.now()));
    }
}

}
