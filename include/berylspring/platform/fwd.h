#pragma once

namespace berylspring::platform {

class Error;
enum class ErrorCode;
struct LogHooks;
struct LogTimeouts;

}
