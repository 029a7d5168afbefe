#pragma once

namespace berylspring::eventlog {

class Error;
enum class ErrorCode;
struct LogHooks;
struct LogTimeouts;

}
