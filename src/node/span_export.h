#pragma once

#include "berylspring/telemetry/span_buffer.h"

#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>

namespace berylspring::node::detail {

/** @brief Where finished spans go. */
struct SpanTarget
{
    std::string host;
    std::string otlpAddress; ///< Collector "IP:PORT"; empty: none.
    std::string file; ///< JSON lines; empty: none.
};

/** @brief Sends the content of the buffer to the target once a second until the buffer's last owner is gone. */
void startSpanExport(const boost::asio::any_io_executor &executor,
                     SpanTarget target,
                     const std::shared_ptr<telemetry::SpanBuffer> &buffer);

}
