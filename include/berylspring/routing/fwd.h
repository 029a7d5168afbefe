#pragma once

namespace berylspring::routing {

class Ejection;
class EndpointTraffic;
class Router;
enum class ExclusionReason;
enum class RoutingResult;
struct EndpointExplanation;
struct Exclusion;
struct RouteExplanation;
struct RouterHooks;
struct RouterSettings;
struct RoutingDecision;
struct RoutingRequest;

}
