#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

namespace berylspring::async {

/** @return A new strand. One of an io_context holds its executor directly, which makes copies of the strand cheaper. */
[[nodiscard]] inline boost::asio::any_io_executor makeStrand(const boost::asio::any_io_executor &executor)
{
    namespace asio = boost::asio;
    if (const auto *context = executor.target<asio::io_context::executor_type>()) {
        return asio::make_strand(*context);
    }
    return asio::make_strand(executor);
}

}
