#pragma once

namespace berylspring::config {

class Catalogue;
class ConfigService;
class Error;
class LogRecord;
class SnapshotAssembler;
struct ConfigHooks;
struct ConfigSettings;
enum class ErrorCode;
enum class ResourceType;
enum class Verdict;

}
