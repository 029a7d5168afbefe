#include "berylspring/config/resource.h"

#include "config/json_reader.h"
#include "config/path.h"
#include "config/resource_json.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

namespace berylspring::config {

namespace json = boost::json;
using detail::JsonReader;

namespace {

constexpr std::array<std::string_view, ResourceTypes.size()> TypeNames{
    "workspaces", "keys", "limits", "priorities", "routes", "request-limits", "services", "evacuations"};
constexpr double MinWeight = 0.001;
constexpr double MaxWeight = 1000;
constexpr double MinRate = 0.001;
constexpr double MaxTokens = 1e9;
/** Smaller bursts cannot be granted in batches; see section 6.3 of the design. */
constexpr double MinBurstSeconds = 0.010;
constexpr std::uint64_t MaxStalenessSeconds = 7ULL * 24 * 3600;
constexpr std::uint64_t MaxShareWeight = 1'000'000;
constexpr std::size_t MaxHostLength = 253;
constexpr std::uint64_t MaxTimeoutMs = 600'000;
constexpr std::uint64_t MaxRetries = 10;
constexpr std::size_t MaxMethodLength = 20;
constexpr std::string_view RequestLimitsName = "default";
constexpr std::uint64_t MinHeaderBytes = 256;
constexpr std::uint64_t MaxHeaderBytes = 1'048'576;
constexpr std::uint64_t MaxBodyBytes = 1'073'741'824;
constexpr double MaxColdRate = 1e6;

template<typename Unit>
core::Duration durationOf(std::uint64_t count)
{
    return std::chrono::duration_cast<core::Duration>(Unit(count));
}

template<typename Unit>
std::int64_t countOf(core::Duration duration)
{
    return std::chrono::duration_cast<Unit>(duration).count();
}

Workspace parseWorkspace(JsonReader &reader, std::string name)
{
    const WorkspaceFields defaults;
    WorkspaceFields fields;
    fields.name = core::WorkspaceId(std::move(name));
    fields.weight = reader.number("weight", MinWeight, MaxWeight, defaults.weight);
    const std::string staleness = reader.contains("staleness") ? reader.text("staleness") : "serve";
    if (staleness != "serve" && staleness != "refuse") {
        reader.fail("staleness", "\"serve\" or \"refuse\"");
    }
    fields.staleness = staleness == "refuse" ? Staleness::Refuse : Staleness::Serve;
    const auto limit = std::chrono::duration_cast<std::chrono::seconds>(defaults.stalenessLimit).count();
    fields.stalenessLimit = durationOf<std::chrono::seconds>(
        reader.integer("staleness_limit_s", 1, MaxStalenessSeconds, static_cast<std::uint64_t>(limit)));
    if (reader.contains("priority")) {
        fields.priority = PriorityId(reader.name("priority"));
    }
    return Workspace(std::move(fields));
}

Key parseKey(JsonReader &reader, std::string name)
{
    KeyFields fields;
    fields.name = core::KeyId(std::move(name));
    fields.workspace = core::WorkspaceId(reader.name("workspace"));
    const auto digest = core::Digest::fromHex(reader.text("digest"));
    if (!digest) {
        reader.fail("digest", "the SHA-256 digest of the key in 64 hexadecimal digits");
    }
    fields.digest = digest.value_or(core::Digest());
    return Key(std::move(fields));
}

Limit parseLimit(JsonReader &reader, std::string name)
{
    LimitFields fields;
    fields.name = LimitId(std::move(name));
    fields.workspace = core::WorkspaceId(reader.name("workspace"));
    fields.rate = reader.number("rate", MinRate, MaxTokens);
    fields.burst = reader.number("burst", std::max(1.0, fields.rate * MinBurstSeconds), MaxTokens);
    return Limit(std::move(fields));
}

Priority parsePriority(JsonReader &reader, std::string name)
{
    PriorityFields fields;
    fields.name = PriorityId(std::move(name));
    fields.level = static_cast<core::PriorityLevel>(reader.integer("level", 0, core::MaxPriority));
    fields.worth = reader.number("worth", 0, MaxTokens, fields.worth);
    return Priority(std::move(fields));
}

bool isMethod(std::string_view text)
{
    return !text.empty() && text.size() <= MaxMethodLength
           && std::all_of(text.begin(), text.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
}

std::map<std::string, bool> parseIdempotency(JsonReader &reader)
{
    std::map<std::string, bool> methods;
    const json::object *object = reader.object("idempotency");
    if (object == nullptr) {
        return methods;
    }
    for (const auto &entry : *object) {
        std::string method(entry.key().data(), entry.key().size());
        if (!isMethod(method) || !entry.value().is_bool()) {
            reader.fail("idempotency", "an object of methods in capitals with true or false");
            return methods;
        }
        methods.insert_or_assign(std::move(method), entry.value().get_bool());
    }
    return methods;
}

bool isHost(std::string_view text)
{
    return text.size() <= MaxHostLength && std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '.';
           });
}

/** Reads `service`, or `split` as a list of `{service, weight}`. */
std::vector<ServiceShare> parseServices(JsonReader &reader)
{
    if (!reader.contains("split")) {
        return {{core::ServiceId(reader.name("service")), 1}};
    }
    std::vector<ServiceShare> shares;
    std::uint64_t sum = 0;
    const json::array *split = reader.array("split");
    for (std::size_t i = 0; split != nullptr && i < split->size(); ++i) {
        static const json::object empty;
        const json::object *part = (*split)[i].if_object();
        JsonReader member(part == nullptr ? empty : *part);
        core::ServiceId service(member.name("service"));
        const auto weight = static_cast<std::uint32_t>(member.integer("weight", 0, MaxShareWeight));
        if (member.finish()) {
            sum = 0;
            break;
        }
        shares.push_back({std::move(service), weight});
        sum += weight;
    }
    if (sum == 0) {
        reader.fail("split", "a list of objects with service and weight, one weight at least above 0");
    }
    return shares;
}

core::Duration parseMilliseconds(JsonReader &reader, std::string_view member, core::Duration fallback)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(fallback).count();
    return durationOf<std::chrono::milliseconds>(
        reader.integer(member, 1, MaxTimeoutMs, static_cast<std::uint64_t>(milliseconds)));
}

Route parseRoute(JsonReader &reader, std::string name)
{
    const RouteFields defaults;
    RouteFields fields;
    fields.name = core::RouteId(std::move(name));
    fields.prefix = reader.text("prefix");
    if (!detail::isValidPrefix(fields.prefix)) {
        reader.fail("prefix", "\"/\" or a path of up to 256 characters without empty or dot segments and final slash");
    }
    if (reader.contains("host")) {
        fields.host = reader.text("host");
        if (!isHost(fields.host)) {
            reader.fail("host", "a host name of a-z, 0-9, '-' and '.' without a port");
        }
    }
    fields.isForPrefixItself = reader.boolean("is_for_prefix_itself", defaults.isForPrefixItself);
    fields.services = parseServices(reader);
    fields.priority = PriorityId(reader.name("priority"));
    fields.isOpen = reader.boolean("is_open", defaults.isOpen);
    fields.isInternal = reader.boolean("is_internal", defaults.isInternal);
    fields.timeout = parseMilliseconds(reader, "timeout_ms", defaults.timeout);
    fields.targetLatency =
        durationOf<std::chrono::milliseconds>(reader.integer("target_latency_ms", 0, MaxTimeoutMs, 0));
    if (reader.contains("is_safe")) {
        fields.isSafe = reader.boolean("is_safe");
    }
    fields.retries = static_cast<std::uint32_t>(reader.integer("retries", 0, MaxRetries, defaults.retries));
    fields.idempotency = parseIdempotency(reader);
    return Route(std::move(fields));
}

RequestLimits parseRequestLimits(JsonReader &reader, std::string name)
{
    const RequestLimitsFields defaults;
    RequestLimitsFields fields;
    if (name != RequestLimitsName) {
        reader.fail("name", "\"default\", since the limits are those of all callers");
    }
    fields.name = RequestLimitsId(std::move(name));
    fields.maxHeaderBytes = static_cast<std::uint32_t>(
        reader.integer("max_header_bytes", MinHeaderBytes, MaxHeaderBytes, defaults.maxHeaderBytes));
    fields.maxBodyBytes = reader.integer("max_body_bytes", 0, MaxBodyBytes, defaults.maxBodyBytes);
    fields.headerTimeout = parseMilliseconds(reader, "header_timeout_ms", defaults.headerTimeout);
    fields.idleTimeout = parseMilliseconds(reader, "idle_timeout_ms", defaults.idleTimeout);
    return RequestLimits(std::move(fields));
}

Service parseService(JsonReader &reader, std::string name)
{
    const ServiceFields defaults;
    ServiceFields fields;
    fields.name = core::ServiceId(std::move(name));
    fields.coldRate = reader.number("cold_rate", 0, MaxColdRate, defaults.coldRate);
    const auto coldTime = static_cast<std::uint64_t>(countOf<std::chrono::milliseconds>(defaults.coldTime));
    fields.coldTime = durationOf<std::chrono::milliseconds>(reader.integer("cold_time_ms", 0, MaxTimeoutMs, coldTime));
    return Service(std::move(fields));
}

Resource parseMembers(ResourceType type, JsonReader &reader, std::string name)
{
    switch (type) {
    case ResourceType::Workspace:
        return parseWorkspace(reader, std::move(name));
    case ResourceType::Key:
        return parseKey(reader, std::move(name));
    case ResourceType::Limit:
        return parseLimit(reader, std::move(name));
    case ResourceType::Priority:
        return parsePriority(reader, std::move(name));
    case ResourceType::Route:
        return parseRoute(reader, std::move(name));
    case ResourceType::RequestLimits:
        return parseRequestLimits(reader, std::move(name));
    case ResourceType::Service:
        return parseService(reader, std::move(name));
    case ResourceType::Evacuation:
        break;
    }
    return Evacuation({.name = core::DataCentreId(std::move(name))});
}

json::object members(const Workspace &workspace)
{
    json::object object{{"name", workspace->name.value()},
                        {"weight", workspace->weight},
                        {"staleness", workspace->staleness == Staleness::Refuse ? "refuse" : "serve"},
                        {"staleness_limit_s", countOf<std::chrono::seconds>(workspace->stalenessLimit)}};
    if (!workspace->priority.isEmpty()) {
        object.emplace("priority", workspace->priority.value());
    }
    return object;
}

json::object members(const Key &key)
{
    return {{"name", key->name.value()}, {"workspace", key->workspace.value()}, {"digest", key->digest.toHex()}};
}

json::object members(const Limit &limit)
{
    return {{"name", limit->name.value()},
            {"workspace", limit->workspace.value()},
            {"rate", limit->rate},
            {"burst", limit->burst}};
}

json::object members(const Priority &priority)
{
    return {{"name", priority->name.value()}, {"level", priority->level}, {"worth", priority->worth}};
}

json::object members(const Route &route)
{
    json::object methods;
    for (const auto &[method, isIdempotent] : route->idempotency) {
        methods.emplace(method, isIdempotent);
    }
    json::object object{{"name", route->name.value()},
                        {"prefix", route->prefix},
                        {"is_for_prefix_itself", route->isForPrefixItself},
                        {"priority", route->priority.value()},
                        {"is_open", route->isOpen},
                        {"is_internal", route->isInternal},
                        {"timeout_ms", countOf<std::chrono::milliseconds>(route->timeout)},
                        {"target_latency_ms", countOf<std::chrono::milliseconds>(route->targetLatency)},
                        {"retries", route->retries},
                        {"idempotency", std::move(methods)}};
    if (!route->host.empty()) {
        object.emplace("host", route->host);
    }
    if (route->isSafe) {
        object.emplace("is_safe", *route->isSafe);
    }
    if (route->services.size() == 1) {
        object.emplace("service", route->services.front().service.value());
        return object;
    }
    json::array split;
    for (const ServiceShare &share : route->services) {
        split.push_back(json::object{{"service", share.service.value()}, {"weight", share.weight}});
    }
    object.emplace("split", std::move(split));
    return object;
}

json::object members(const Service &service)
{
    return {{"name", service->name.value()},
            {"cold_rate", service->coldRate},
            {"cold_time_ms", countOf<std::chrono::milliseconds>(service->coldTime)}};
}

json::object members(const Evacuation &evacuation)
{
    return {{"name", evacuation->name.value()}};
}

json::object members(const RequestLimits &limits)
{
    return {{"name", limits->name.value()},
            {"max_header_bytes", limits->maxHeaderBytes},
            {"max_body_bytes", limits->maxBodyBytes},
            {"header_timeout_ms", countOf<std::chrono::milliseconds>(limits->headerTimeout)},
            {"idle_timeout_ms", countOf<std::chrono::milliseconds>(limits->idleTimeout)}};
}

}

std::string_view toString(ResourceType type) noexcept
{
    return TypeNames.at(static_cast<std::size_t>(type));
}

std::optional<ResourceType> resourceTypeFromString(std::string_view text) noexcept
{
    const auto found = std::find(TypeNames.begin(), TypeNames.end(), text);
    if (found == TypeNames.end()) {
        return std::nullopt;
    }
    return static_cast<ResourceType>(found - TypeNames.begin());
}

Result<Resource> parseResource(ResourceType type, std::string_view name, std::string_view json)
{
    if (!core::isValidName(name)) {
        return tl::unexpected(Error::invalid("name", '"' + std::string(name.substr(0, 80)) + '"', "a valid name"));
    }
    const auto object = detail::parseObject(json);
    if (!object) {
        return tl::unexpected(object.error());
    }
    return detail::readResource(type, name, *object);
}

Result<Resource> detail::readResource(ResourceType type, std::string_view name, const json::object &object)
{
    JsonReader reader(object);
    if (reader.contains("name") && reader.name("name") != name) {
        reader.fail("name", "the name \"" + std::string(name) + "\" of the resource");
    }
    Resource resource = parseMembers(type, reader, std::string(name));
    if (auto error = reader.finish()) {
        return tl::unexpected(std::move(*error));
    }
    return resource;
}

json::object detail::writeResource(const Resource &resource)
{
    return std::visit([](const auto &value) { return members(value); }, resource);
}

std::string toJson(const Resource &resource)
{
    return json::serialize(detail::writeResource(resource));
}

ResourceType typeOf(const Resource &resource) noexcept
{
    return static_cast<ResourceType>(resource.index());
}

const std::string &nameOf(const Resource &resource) noexcept
{
    return std::visit([](const auto &value) -> const std::string & { return value->name.value(); }, resource);
}

bool isIdempotent(const Route &route, std::string_view method)
{
    const auto found = route->idempotency.find(std::string(method));
    if (found != route->idempotency.end()) {
        return found->second;
    }
    if (route->isSafe) {
        return *route->isSafe;
    }
    constexpr std::array<std::string_view, 6> IdempotentMethods{"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"};
    return std::find(IdempotentMethods.begin(), IdempotentMethods.end(), method) != IdempotentMethods.end();
}

}
