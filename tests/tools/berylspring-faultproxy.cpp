#include "berylspring/http/server.h"
#include "tools/common/fault_route.h"
#include "tools/common/tool_run.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <stdexcept>

#include <boost/json.hpp>
#include <boost/program_options.hpp>

namespace po = boost::program_options;
namespace json = boost::json;
using namespace berylspring;

namespace {

constexpr std::size_t Threads = 2;

struct RouteArgument
{
    std::uint16_t listenPort = 0;
    std::uint16_t targetPort = 0;
};

std::uint16_t parsePort(const std::string &text)
{
    const unsigned long number = std::stoul(text);
    if (number > 65'535) {
        throw std::invalid_argument("not a port: " + text);
    }
    return static_cast<std::uint16_t>(number);
}

std::vector<RouteArgument> parse(int argc, char **argv)
{
    std::vector<std::string> routes;
    po::options_description options("berylspring-faultproxy");
    auto add = options.add_options();
    add("help", "print this text");
    add("route", po::value(&routes), "LISTEN_PORT=TARGET_PORT, 0: a free port; may be repeated");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
    if (values.contains("help")) {
        std::cout << options;
        std::exit(0);
    }
    std::vector<RouteArgument> arguments;
    for (const std::string &route : routes) {
        const std::size_t separator = route.find('=');
        if (separator == std::string::npos) {
            throw std::invalid_argument("not LISTEN_PORT=TARGET_PORT: " + route);
        }
        arguments.push_back({parsePort(route.substr(0, separator)), parsePort(route.substr(separator + 1))});
    }
    return arguments;
}

/** @brief All routes and the control server, which changes their faults while they run. */
class FaultProxy
{
public:
    FaultProxy(const boost::asio::any_io_executor &executor, const std::vector<RouteArgument> &arguments)
        : m_control(executor, {}, [this](http::Request request) { return handleControl(std::move(request)); })
    {
        for (const RouteArgument &argument : arguments) {
            m_routes.push_back(std::make_shared<tools::FaultRoute>(executor, argument.targetPort));
            const std::uint16_t port = m_routes.back()->listen(argument.listenPort);
            std::cout << "listening route " << m_routes.size() - 1 << ' ' << port << '\n';
        }
        std::cout << "listening control " << m_control.listen("127.0.0.1", 0).value() << std::endl;
    }

private:
    boost::asio::awaitable<http::Reply> handleControl(http::Request request)
    {
        if (request->method == "GET" && request->target == "/control") {
            json::array dropped;
            for (const auto &route : m_routes) {
                dropped.push_back(route->droppedDatagrams());
            }
            co_return http::Reply(
                http::jsonResponse(200, json::serialize(json::object{{"dropped_datagrams", std::move(dropped)}})));
        }
        if (request->method != "PUT" || request->target != "/control") {
            co_return http::Reply(http::jsonResponse(404, R"({"error":"GET or PUT /control"})"));
        }
        co_return http::Reply(changeFaults(request->body));
    }

    http::Response changeFaults(const std::string &body)
    {
        try {
            const json::object object = json::parse(body).as_object();
            for (const auto &member : object) {
                checkMemberName(member.key());
            }
            const json::value *route = object.if_contains("route");
            if (route != nullptr) {
                applyFaults(*m_routes.at(route->to_number<std::size_t>()), object);
                return http::jsonResponse(200, "{}");
            }
            for (const auto &each : m_routes) {
                applyFaults(*each, object);
            }
            return http::jsonResponse(200, "{}");
        } catch (const std::exception &error) {
            return http::jsonResponse(400, json::serialize(json::object{{"error", error.what()}}));
        }
    }

    static void checkMemberName(std::string_view name)
    {
        constexpr std::array<std::string_view, 6> Names{"route", "delay_ms", "cut", "close", "half", "loss"};
        if (std::find(Names.begin(), Names.end(), name) == Names.end()) {
            throw std::invalid_argument("members: route, delay_ms, cut, close, half, loss");
        }
    }

    static void applyFaults(tools::FaultRoute &route, const json::object &object)
    {
        using tools::Cut;
        static const std::map<std::string, Cut> cuts{
            {"none", Cut::None}, {"to", Cut::ToTarget}, {"from", Cut::FromTarget}, {"both", Cut::Both}};
        tools::FaultState state = route.faults();
        if (const json::value *delay = object.if_contains("delay_ms")) {
            state.delay = std::chrono::duration_cast<core::Duration>(
                std::chrono::duration<double, std::milli>(delay->to_number<double>()));
        }
        if (const json::value *cut = object.if_contains("cut")) {
            state.cut = cuts.at(std::string(cut->as_string()));
        }
        if (const json::value *loss = object.if_contains("loss")) {
            state.loss = std::clamp(loss->to_number<double>(), 0.0, 1.0);
        }
        route.setFaults(state);
        if (const json::value *half = object.if_contains("half")) {
            route.cutAfter(half->to_number<std::uint64_t>());
        }
        const json::value *close = object.if_contains("close");
        if (close != nullptr && close->as_bool()) {
            route.closeConnections();
        }
    }

    std::vector<std::shared_ptr<tools::FaultRoute>> m_routes;
    http::Server m_control;
};

boost::asio::awaitable<void> completeImmediately()
{
    co_return;
}

}

int main(int argc, char **argv)
{
    try {
        const std::vector<RouteArgument> arguments = parse(argc, argv);
        std::unique_ptr<FaultProxy> proxy;
        const tools::ToolHooks hooks{.start =
                                         [&](const boost::asio::any_io_executor &executor) {
                                             proxy = std::make_unique<FaultProxy>(executor, arguments);
                                             return true;
                                         },
                                     .stop = [] { return completeImmediately(); }};
        return tools::runTool(Threads, hooks);
    } catch (const std::exception &error) {
        std::cerr << "berylspring-faultproxy: " << error.what() << '\n';
        return 1;
    }
}
