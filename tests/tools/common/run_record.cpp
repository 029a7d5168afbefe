#include "tools/common/run_record.h"

#include <boost/json.hpp>

namespace berylspring::tools {

namespace {

/** Bounds the memory of a long run. A test that reads the headers must check that headers_full is not set. */
constexpr std::size_t MaxHeaderValues = 50'000;

template<typename Map>
void increment(Map &counts, const std::string &key)
{
    counts.update(key, [](auto &count) { count = count.value_or(0) + 1; });
}

template<typename Map>
boost::json::object toJsonObject(const Map &counts)
{
    boost::json::object object;
    counts.forEach([&](const std::string &key, std::uint64_t count) { object.emplace(key, count); });
    return object;
}

}

RunRecord::RunRecord(bool isHeaderRecordOn)
    : m_isHeaderRecordOn(isHeaderRecordOn)
{
}

void RunRecord::received(const http::Request &request)
{
    ++m_arrivals;
    const std::string key(http::headerValue(request->headers, "Idempotency-Key"));
    if (!key.empty()) {
        increment(m_received, key);
    }
    if (!m_isHeaderRecordOn || m_isHeaderRecordFull) {
        return;
    }
    for (const wire::Header &header : request->headers) {
        increment(m_headers, header.name + ": " + header.value);
    }
    m_isHeaderRecordFull = m_headers.size() > MaxHeaderValues;
}

void RunRecord::started(const http::Request &request)
{
    ++m_started;
    increment(m_runs, std::string(http::pathOf(request->target)));
    const std::string key(http::headerValue(request->headers, "Idempotency-Key"));
    if (!key.empty()) {
        increment(m_effects, key);
    }
    const std::string root = http::queryParameter(request->target, "root");
    if (!root.empty()) {
        increment(m_roots, root);
    }
}

void RunRecord::finished()
{
    ++m_finished;
}

void RunRecord::cancelled()
{
    ++m_cancelled;
}

void RunRecord::crashed()
{
    ++m_crashes;
}

std::string RunRecord::json() const
{
    return boost::json::serialize(boost::json::object{{"effects", toJsonObject(m_effects)},
                                                      {"received", toJsonObject(m_received)},
                                                      {"runs", toJsonObject(m_runs)},
                                                      {"roots", toJsonObject(m_roots)},
                                                      {"headers", toJsonObject(m_headers)},
                                                      {"headers_full", m_isHeaderRecordFull.load()},
                                                      {"arrivals", m_arrivals.load()},
                                                      {"started", m_started.load()},
                                                      {"finished", m_finished.load()},
                                                      {"cancelled", m_cancelled.load()},
                                                      {"crashes", m_crashes.load()}});
}

}
