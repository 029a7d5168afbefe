#pragma once

#include <exception>
#include <functional>
#include <string>
#include <utility>

#include <boost/asio/error.hpp>
#include <boost/system/system_error.hpp>

namespace berylspring::async {

/**
 * @brief Completion handler of a coroutine that no other one awaits, in place of asio::detached, which drops the
 * exception that ended it.
 */
class ReportFailure
{
public:
    /** @param report Called with the text of the exception; not called for a cancellation. */
    explicit ReportFailure(std::function<void(const std::string &)> report)
        : m_report(std::move(report))
    {
    }

    void operator()(const std::exception_ptr &failure) const
    {
        if (!failure) {
            return;
        }
        try {
            std::rethrow_exception(failure);
        } catch (const boost::system::system_error &error) {
            if (error.code() != boost::asio::error::operation_aborted) {
                m_report(error.what());
            }
        } catch (const std::exception &error) {
            m_report(error.what());
        } catch (...) {
            m_report("an exception of unknown type");
        }
    }

private:
    std::function<void(const std::string &)> m_report;
};

}
