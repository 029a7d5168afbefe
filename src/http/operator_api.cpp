#include "berylspring/http/operator_api.h"

#include "berylspring/http/explain_json.h"
#include "berylspring/http/problem.h"

#include <algorithm>
#include <charconv>
#include <deque>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace berylspring::http {

namespace {

namespace asio = boost::asio;

constexpr auto WatchPollInterval = std::chrono::milliseconds(100);
constexpr std::string_view BearerPrefix = "Bearer ";

std::optional<core::Offset> parseOffset(std::string_view text)
{
    core::Offset value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isWhole = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    return isWhole ? std::optional(value) : std::nullopt;
}

/** @brief Expected version of a write, from `If-Match: "N"` or `If-None-Match: *`. */
struct Precondition
{
    bool isValid = true;
    std::optional<core::Offset> expectedVersion;
};

Precondition preconditionOf(const Request &request)
{
    if (headerValue(request->headers, "If-None-Match") == "*") {
        return {.expectedVersion = 0};
    }
    std::string_view tag = headerValue(request->headers, "If-Match");
    if (tag.empty() || tag == "*") {
        return {};
    }
    if (tag.size() < 2 || tag.front() != '"' || tag.back() != '"') {
        return {.isValid = false};
    }
    tag = tag.substr(1, tag.size() - 2);
    const auto version = parseOffset(tag);
    return {.isValid = version.has_value(), .expectedVersion = version};
}

Reply errorReply(const config::Error &error)
{
    switch (error.code()) {
    case config::ErrorCode::Invalid:
        return problemResponse(400, "invalid", error.detail());
    case config::ErrorCode::NotFound:
        return problemResponse(404, "not-found", error.detail());
    case config::ErrorCode::Conflict:
        return problemResponse(412, "conflict", error.detail());
    case config::ErrorCode::Unavailable:
        break;
    }
    const core::Outcome outcome = error.maybeApplied() ? core::Outcome::Unknown : core::Outcome::NotRun;
    const boost::json::object members{{"type", "about:blank"},
                                      {"title", "unavailable"},
                                      {"status", 503},
                                      {"detail", error.detail()},
                                      {"outcome", core::toString(outcome)},
                                      {"reason", "log-unavailable"}};
    return Response({.status = 503,
                     .headers = {{"Content-Type", "application/problem+json"}, {"Retry-After", "1"}},
                     .body = boost::json::serialize(members)});
}

Reply outcomeReply(const config::WriteOutcome &outcome)
{
    boost::json::object members;
    members["state"] = outcome.state == config::WriteState::Recorded ? "recorded" : "announced";
    wire::Headers headers{{"Content-Type", "application/json"}};
    if (outcome.change) {
        members["change"] = *outcome.change;
        headers.push_back({"ETag", "\"" + std::to_string(*outcome.change) + "\""});
    } else {
        members["peers"] = outcome.peers;
    }
    return Response({.status = 200, .headers = std::move(headers), .body = boost::json::serialize(members)});
}

std::vector<std::string> segmentsOf(std::string_view path)
{
    std::vector<std::string> segments;
    std::size_t begin = 1;
    while (begin <= path.size()) {
        const std::size_t end = std::min(path.find('/', begin), path.size());
        segments.emplace_back(path.substr(begin, end - begin));
        begin = end + 1;
    }
    return segments;
}

std::string acceptedLine(const ChangeRecord &change)
{
    return boost::json::serialize(boost::json::object{{"event", "accepted"},
                                                      {"change", change.change},
                                                      {"kind", change.kind},
                                                      {"type", change.type},
                                                      {"name", change.name}})
           + "\n";
}

}

OperatorApi::OperatorApi(OperatorHooks hooks)
    : m_hooks(std::move(hooks))
{
}

asio::awaitable<Reply> OperatorApi::handle(Request request)
{
    const std::string path(pathOf(request->target));
    if (path == "/healthz") {
        co_return jsonResponse(200, R"({"status":"ok"})");
    }
    if (path == "/readyz") {
        co_return m_hooks.isReady() ? jsonResponse(200, R"({"status":"ready"})")
                                    : problemResponse(503, "not-ready", "no configuration, or draining");
    }
    if (path == "/metrics") {
        co_return Response(
            {.status = 200, .headers = {{"Content-Type", "text/plain; version=0.0.4"}}, .body = m_hooks.metrics()});
    }
    if (!isAuthorized(request)) {
        co_return problemResponse(401, "not-authorized", "the operator token is missing or wrong");
    }
    const std::vector<std::string> segments = segmentsOf(path);
    if (segments.size() < 2 || segments.size() > 3 || segments[0] != "v1") {
        co_return problemResponse(404, "not-found", "no such path");
    }
    const std::string name = segments.size() == 3 ? segments[2] : std::string();
    if (const auto type = config::resourceTypeFromString(segments[1])) {
        co_return co_await handleResource(request, *type, name);
    }
    if (segments[1] == "nodes" && name.empty()) {
        co_return nodes();
    }
    if (segments[1] == "explain" && name.empty()) {
        co_return explain(request);
    }
    if (segments[1] == "changes" && parseOffset(name)) {
        co_return changeStatus(*parseOffset(name));
    }
    if (segments[1] == "watch" && name.empty()) {
        const std::string fromText = queryParameter(request->target, "from");
        const auto from = fromText.empty() ? m_hooks.catalogue()->appliedOffset() : parseOffset(fromText);
        if (!from) {
            co_return problemResponse(400, "invalid", "from is not a change number");
        }
        StreamedResponse stream;
        stream.contentType = "application/jsonl";
        stream.write = [this, from = *from](ChunkWriter writer) { return watch(from, std::move(writer)); };
        co_return Reply(std::move(stream));
    }
    co_return problemResponse(404, "not-found", "no such path");
}

bool OperatorApi::isAuthorized(const Request &request) const
{
    const std::string_view value = headerValue(request->headers, "Authorization");
    if (!value.starts_with(BearerPrefix)) {
        return false;
    }
    return core::isEqualConstantTime(core::sha256(value.substr(BearerPrefix.size())), m_hooks.tokenDigest);
}

asio::awaitable<Reply> OperatorApi::handleResource(Request request, config::ResourceType type, std::string name)
{
    if (request->method == "GET") {
        co_return name.empty() ? list(type) : read(type, name);
    }
    if (name.empty() || (request->method != "PUT" && request->method != "DELETE")) {
        co_return problemResponse(405, "method-not-allowed", "GET, or with a name GET, PUT and DELETE");
    }
    co_return co_await write(request, type, name);
}

asio::awaitable<Reply> OperatorApi::write(Request request, config::ResourceType type, std::string name)
{
    const Precondition precondition = preconditionOf(request);
    if (!precondition.isValid) {
        co_return problemResponse(400, "invalid", "If-Match is not a version in quotes");
    }
    // Otherwise a mistyped name would be accepted and have no effect. It can still be deleted.
    if (type == config::ResourceType::Evacuation && request->method == "PUT"
        && !(core::isValidName(name) && m_hooks.isDeclared(core::DataCentreId(name)))) {
        co_return problemResponse(400, "invalid", "the data centre " + name + " is not declared");
    }
    if (request->method == "PUT") {
        const auto outcome = co_await m_hooks.put(type, name, request->body, precondition.expectedVersion);
        co_return outcome ? outcomeReply(*outcome) : errorReply(outcome.error());
    }
    const auto outcome = co_await m_hooks.remove(type, name, precondition.expectedVersion);
    co_return outcome ? outcomeReply(*outcome) : errorReply(outcome.error());
}

Reply OperatorApi::list(config::ResourceType type) const
{
    boost::json::array items;
    for (const config::ResourceView &view : m_hooks.catalogue()->list(type)) {
        boost::json::object item = boost::json::parse(view.json).as_object();
        item["name"] = view.name;
        item["version"] = view.version;
        items.push_back(std::move(item));
    }
    return jsonResponse(200, boost::json::serialize(boost::json::object{{"items", std::move(items)}}));
}

Reply OperatorApi::read(config::ResourceType type, const std::string &name) const
{
    const auto view = m_hooks.catalogue()->resource(type, name);
    if (!view) {
        return problemResponse(404, "not-found", "there is no such resource");
    }
    const wire::Headers headers{{"Content-Type", "application/json"},
                                {"ETag", "\"" + std::to_string(view->version) + "\""}};
    return Response({.status = 200, .headers = headers, .body = view->json});
}

Reply OperatorApi::changeStatus(core::Offset change) const
{
    if (change >= m_hooks.catalogue()->appliedOffset()) {
        return problemResponse(404, "not-found", "the change is not applied on this node");
    }
    m_hooks.queryAppliedOffsets(change);
    return jsonResponse(200, ChangeProgress(change, m_hooks.nodes()).toJson({}));
}

Reply OperatorApi::nodes() const
{
    boost::json::array items;
    for (const NodeStatus &node : m_hooks.nodes()) {
        items.push_back(boost::json::object{{"host", node.host.value()},
                                            {"data_centre", node.dataCentre.value()},
                                            {"state", node.state},
                                            {"applied_offset", node.appliedOffset},
                                            {"service", node.service},
                                            {"draining", node.isDraining},
                                            {"evacuated", node.isEvacuated}});
    }
    return jsonResponse(200, boost::json::serialize(boost::json::object{{"items", std::move(items)}}));
}

Reply OperatorApi::explain(const Request &request) const
{
    if (request->method != "GET") {
        return problemResponse(405, "method-not-allowed", "GET only");
    }
    const auto explanation = parseExplainQuestion(request->target).and_then(m_hooks.explain);
    return explanation ? jsonResponse(200, toJson(*explanation)) : problemResponse(explanation.error());
}

asio::awaitable<void> OperatorApi::watch(core::Offset from, ChunkWriter writer) const
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    std::deque<core::Offset> pending;
    while (true) {
        const ChangePage page = co_await m_hooks.changes(from);
        from = page.next;
        std::string lines;
        for (const ChangeRecord &change : page.changes) {
            lines += acceptedLine(change);
            pending.push_back(change.change);
        }
        if (!pending.empty()) {
            m_hooks.queryAppliedOffsets(pending.front());
        }
        while (!pending.empty()) {
            const ChangeProgress progress(pending.front(), m_hooks.nodes());
            if (!progress.isInForce()) {
                break;
            }
            lines += progress.toJson("in-force") + "\n";
            pending.pop_front();
        }
        if (!lines.empty()) {
            const Result<void> written = co_await writer(std::move(lines));
            if (!written) {
                co_return;
            }
        }
        timer.expires_after(WatchPollInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

ChangeProgress::ChangeProgress(core::Offset change, const std::vector<NodeStatus> &nodes)
    : m_change(change)
{
    for (const NodeStatus &node : nodes) {
        if (node.state != "alive" && node.state != "suspect") {
            continue;
        }
        const std::uint64_t holds = node.appliedOffset > change ? 1 : 0;
        Count &count = countOf(node.dataCentre.value());
        ++count.live;
        count.holding += holds;
        ++m_live;
        m_holding += holds;
    }
}

ChangeProgress::Count &ChangeProgress::countOf(const std::string &dataCentre)
{
    const auto found = std::find_if(
        m_dataCentres.begin(), m_dataCentres.end(), [&](const Count &count) { return count.dataCentre == dataCentre; });
    if (found != m_dataCentres.end()) {
        return *found;
    }
    return m_dataCentres.emplace_back(Count{.dataCentre = dataCentre});
}

std::string ChangeProgress::toJson(std::string_view event) const
{
    boost::json::object dataCentres;
    for (const Count &count : m_dataCentres) {
        dataCentres[count.dataCentre] = {{"live", count.live}, {"holding", count.holding}};
    }
    boost::json::object json;
    if (!event.empty()) {
        json["event"] = event;
    }
    json["change"] = m_change;
    json["in_force"] = isInForce();
    json["live"] = m_live;
    json["holding"] = m_holding;
    json["data_centres"] = std::move(dataCentres);
    return boost::json::serialize(json);
}

}
