#pragma once

namespace berylspring::telemetry {

class TraceContext;
class Metrics;
class SpanExporter;
enum class Severity;

}
