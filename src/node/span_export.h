#pragma once

#include "berylspring/telemetry/span_buffer.h"

#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>

namespace berylspring::node::detail {

/** @brief Destinations of finished spans. */
struct SpanTarget
{
    std::string host;
    std::string otlpAddress; ///< OTLP collector, "IP:PORT"; empty: none.
    std::string file; ///< File that spans are appended to as JSON lines; empty: none.
};

/** @brief Exports the buffered spans once a second until the last owner of the buffer releases it. */
void startSpanExport(const boost::asio::any_io_executor &executor,
                     SpanTarget target,
                     const std::shared_ptr<telemetry::SpanBuffer> &buffer);

}
