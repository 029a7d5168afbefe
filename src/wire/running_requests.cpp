#include "wire/running_requests.h"

#include <utility>

#include <boost/asio/post.hpp>

namespace berylspring::wire::detail {

RunningRequest::RunningRequest(boost::asio::any_io_executor strand)
    : m_strand(std::move(strand))
{
}

void RunningRequest::cancel(const std::shared_ptr<RunningRequest> &self)
{
    boost::asio::post(self->m_strand, [self] {
        if (!self->m_isFinished) {
            self->m_isCancelled = true;
            self->m_signal.emit(boost::asio::cancellation_type::terminal);
        }
    });
}

bool RunningRequest::finish() noexcept
{
    m_isFinished = true;
    return !m_isCancelled;
}

RunningRequests::RunningRequests(std::size_t limit) noexcept
    : m_limit(limit)
{
}

RunningRequests::AddResult RunningRequests::add(std::uint64_t number, const Pointer &request)
{
    const std::scoped_lock lock(m_mutex);
    if (m_isClosed) {
        return AddResult::Closed;
    }
    if (m_requests.size() >= m_limit) {
        return AddResult::TooMany;
    }
    return m_requests.emplace(number, request).second ? AddResult::Added : AddResult::Duplicate;
}

void RunningRequests::remove(std::uint64_t number)
{
    const std::scoped_lock lock(m_mutex);
    m_requests.erase(number);
}

void RunningRequests::cancel(std::uint64_t number)
{
    Pointer request;
    {
        const std::scoped_lock lock(m_mutex);
        const auto found = m_requests.find(number);
        if (found == m_requests.end()) {
            return;
        }
        request = found->second;
    }
    RunningRequest::cancel(request);
}

void RunningRequests::close()
{
    std::unordered_map<std::uint64_t, Pointer> requests;
    {
        const std::scoped_lock lock(m_mutex);
        m_isClosed = true;
        requests = m_requests;
    }
    for (const auto &[number, request] : requests) {
        RunningRequest::cancel(request);
    }
}

std::size_t RunningRequests::size() const
{
    const std::scoped_lock lock(m_mutex);
    return m_requests.size();
}

}
