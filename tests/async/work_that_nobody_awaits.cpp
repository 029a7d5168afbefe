#include "berylspring/async/report_failure.h"
#include "support/section.h"

#include <stdexcept>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using test::section;

namespace {

namespace asio = boost::asio;

asio::awaitable<void> endWith(std::exception_ptr failure)
{
    if (failure) {
        std::rethrow_exception(failure);
    }
    co_return;
}

}

TEST_GROUP(WorkThatNobodyAwaits)
{
    std::vector<std::string> reports;

    void run(std::exception_ptr failure)
    {
        asio::io_context context;
        asio::co_spawn(context, endWith(std::move(failure)), async::ReportFailure([this](const std::string &text) {
                           reports.push_back(text);
                       }));
        context.run();
    }
};

// Guards against a loop of a node that ends on an exception without a trace, or that ends the process.
TEST(WorkThatNobodyAwaits, reportsTheExceptionThatEndedIt)
{
    section("an exception is reported", [&] {
        run(std::make_exception_ptr(std::runtime_error("out of range")));
        LONGS_EQUAL(1, reports.size());
        STRCMP_EQUAL("out of range", reports.back().c_str());
    });
    section("also one of another type", [&] {
        run(std::make_exception_ptr(7));
        LONGS_EQUAL(2, reports.size());
    });
    section("an end as planned and a cancellation are not", [&] {
        run(nullptr);
        run(std::make_exception_ptr(boost::system::system_error(asio::error::operation_aborted)));
        LONGS_EQUAL(2, reports.size());
    });
}
