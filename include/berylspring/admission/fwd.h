#pragma once

namespace berylspring::admission {

class AdmissionQueue;
class AdmissionService;
class AdmittedLevel;
class ConcurrencyLimit;
class EntryShedding;
class EndpointGate;
class Quarantine;
class ServiceTimes;
enum class LimitRule;
enum class QuarantineState;
struct AdmissionHooks;
struct AdmissionSettings;
struct EndpointResult;

}
