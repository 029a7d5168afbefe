#pragma once

#include <cstddef>

namespace berylspring::http::detail {

/**
 * Size limit of the buffer of a connection. Beast limits heads and bodies, but not the extension of a chunk or a
 * trailer, which it parses once they are complete in the buffer.
 */
constexpr std::size_t ReadBufferBytes = std::size_t{64} * 1024;

}
