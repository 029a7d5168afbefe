#include "config/in_memory_log.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace berylspring::test {

namespace asio = boost::asio;

InMemoryLog::InMemoryLog(const asio::any_io_executor &executor)
    : m_changed(executor, std::chrono::steady_clock::time_point::max())
{
}

eventlog::LogHooks InMemoryLog::hooks()
{
    eventlog::LogHooks hooks;
    hooks.append = [this](std::string stream, std::string data) { return append(std::move(stream), std::move(data)); };
    hooks.read = [this](std::string stream, core::Offset from, std::uint32_t limit, core::Duration wait) {
        return read(std::move(stream), from, limit, wait);
    };
    return hooks;
}

void InMemoryLog::push(const std::string &stream, std::string data)
{
    m_streams[stream].records.push_back(std::move(data));
    m_changed.cancel();
}

void InMemoryLog::dropBefore(const std::string &stream, core::Offset offset)
{
    Stream &known = m_streams[stream];
    const auto count = std::min<std::size_t>(offset - known.first, known.records.size());
    known.records.erase(known.records.begin(), known.records.begin() + static_cast<std::ptrdiff_t>(count));
    known.first += count;
}

void InMemoryLog::clear(const std::string &stream)
{
    m_streams[stream] = Stream();
    m_changed.cancel();
}

void InMemoryLog::restore(const std::string &stream, std::size_t count)
{
    m_streams[stream].records.resize(count);
    ++generation;
    m_changed.cancel();
}

std::size_t InMemoryLog::size(const std::string &stream) const
{
    const auto known = m_streams.find(stream);
    return known == m_streams.end() ? 0 : known->second.records.size();
}

const std::vector<std::string> &InMemoryLog::records(const std::string &stream)
{
    return m_streams[stream].records;
}

asio::awaitable<eventlog::Result<core::Offset>> InMemoryLog::append(std::string stream, std::string data)
{
    if (isDown) {
        co_return tl::unexpected(eventlog::Error(eventlog::ErrorCode::Unreachable, false, "down"));
    }
    if (appendsToLose > 0) {
        --appendsToLose;
        co_return tl::unexpected(eventlog::Error(eventlog::ErrorCode::Timeout, true, "append lost"));
    }
    push(stream, std::move(data));
    if (answersToLose > 0) {
        --answersToLose;
        co_return tl::unexpected(eventlog::Error(eventlog::ErrorCode::Timeout, true, "answer lost"));
    }
    const Stream &known = m_streams[stream];
    co_return known.first + known.records.size() - 1;
}

asio::awaitable<eventlog::Result<eventlog::LogPage>>
InMemoryLog::read(std::string stream, core::Offset from, std::uint32_t limit, core::Duration wait)
{
    const auto end = [&] { return m_streams[stream].first + m_streams[stream].records.size(); };
    if (!isDown && wait > core::Duration::zero() && from >= end()) {
        m_changed.expires_after(wait);
        co_await m_changed.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (isDown) {
        co_return tl::unexpected(eventlog::Error(eventlog::ErrorCode::Unreachable, false, "down"));
    }
    const Stream &known = m_streams[stream];
    if (from < known.first) {
        co_return tl::unexpected(eventlog::Error::expired(known.first));
    }
    eventlog::LogPageFields page{.records = {}, .first = known.first, .next = end(), .generation = generation};
    if (emptyPagesBeforeEnd > 0) {
        --emptyPagesBeforeEnd;
        page.next = 1;
        page.reachesEnd = false;
        co_return eventlog::LogPage(std::move(page));
    }
    if (keepsOnlyNewest && from < end()) {
        page.records = {{end() - 1, known.records.back()}};
        co_return eventlog::LogPage(std::move(page));
    }
    for (core::Offset offset = from; offset < end() && page.records.size() < limit; ++offset) {
        page.records.push_back({offset, known.records[offset - known.first]});
        page.next = offset + 1;
    }
    co_return eventlog::LogPage(std::move(page));
}

}
