#include "berylspring/telemetry/log.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>
#include <iostream>
#include <mutex>
#include <utility>

#include <boost/json.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>

namespace berylspring::telemetry {

namespace {

using Source = boost::log::sources::severity_logger_mt<Severity>;

Source &source()
{
    static Source instance;
    return instance;
}

std::string &hostName()
{
    static std::string name;
    return name;
}

std::string_view nameOf(Severity severity) noexcept
{
    switch (severity) {
    case Severity::Debug:
        return "debug";
    case Severity::Info:
        return "info";
    case Severity::Warning:
        return "warning";
    case Severity::Error:
        return "error";
    }
    return "invalid";
}

std::string currentTimeText()
{
    const auto now = std::chrono::system_clock::now();
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::string fraction = std::to_string(millis);
    fraction.insert(0, 3 - fraction.size(), '0');
    return std::string(text.data(), length) + "." + fraction + "Z";
}

/** @brief Token bucket that limits the rate of lines about single requests. */
class RequestEventLimiter
{
public:
    /** @return Number of lines dropped since the last admitted one; nothing if this line must be dropped. */
    std::optional<std::int64_t> acquire(core::TimePoint now)
    {
        const std::scoped_lock lock(m_mutex);
        const double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
        m_tokens = std::min(RequestEventsPerSecond, m_tokens + std::max(0.0, seconds) * RequestEventsPerSecond);
        m_refilledAt = now;
        if (m_tokens < 1) {
            ++m_dropped;
            return std::nullopt;
        }
        m_tokens -= 1;
        return std::exchange(m_dropped, 0);
    }

private:
    std::mutex m_mutex;
    double m_tokens = RequestEventsPerSecond;
    core::TimePoint m_refilledAt;
    std::int64_t m_dropped = 0;
};

boost::json::value toJson(const LogField &field)
{
    return std::visit([](const auto &value) { return boost::json::value(value); }, field.value);
}

}

void startLogging(std::string_view host, Severity lowest)
{
    namespace logging = boost::log;
    hostName() = host;
    auto backend = boost::make_shared<logging::sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, [](std::ostream *) {}));
    backend->auto_flush(true);
    auto sink = boost::make_shared<logging::sinks::synchronous_sink<logging::sinks::text_ostream_backend>>(backend);
    sink->set_formatter(logging::expressions::stream << logging::expressions::smessage);
    logging::core::get()->remove_all_sinks();
    logging::core::get()->add_sink(sink);
    setLowestSeverity(lowest);
}

void setLowestSeverity(Severity lowest)
{
    boost::log::core::get()->set_filter(boost::log::expressions::attr<Severity>("Severity") >= lowest);
}

std::optional<Severity> severityFromString(std::string_view text) noexcept
{
    for (const Severity severity : {Severity::Debug, Severity::Info, Severity::Warning, Severity::Error}) {
        if (nameOf(severity) == text) {
            return severity;
        }
    }
    return std::nullopt;
}

void logRequestEvent(std::string_view message, std::vector<LogField> fields, core::TimePoint now)
{
    static RequestEventLimiter limiter;
    const auto dropped = limiter.acquire(now);
    if (!dropped) {
        return;
    }
    if (*dropped > 0) {
        fields.push_back({"dropped", *dropped});
    }
    log(Severity::Info, message, fields);
}

void log(Severity severity, std::string_view message, const std::vector<LogField> &fields)
{
    boost::log::record record = source().open_record(boost::log::keywords::severity = severity);
    if (!record) {
        return;
    }
    boost::json::object line;
    line["time"] = currentTimeText();
    line["severity"] = nameOf(severity);
    line["host"] = hostName();
    line["message"] = message;
    for (const LogField &field : fields) {
        line[field.name] = toJson(field);
    }
    boost::log::record_ostream stream(record);
    stream << boost::json::serialize(line);
    stream.flush();
    source().push_record(std::move(record));
}

}
