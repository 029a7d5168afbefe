#include "berylspring/node/node.h"
#include "berylspring/node/settings.h"
#include "berylspring/telemetry/log.h"
#include "platform/adapter.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/program_options.hpp>

namespace {

namespace asio = boost::asio;
namespace options = boost::program_options;
using namespace berylspring;

constexpr int ExitOk = 0;
constexpr int ExitUsage = 2;
constexpr int ExitSettings = 3;
constexpr int ExitStart = 4;

void printPorts(const node::NodePorts &ports)
{
    std::cout << "listening caller " << ports.caller << '\n'
              << "listening endpoint " << ports.endpoint << '\n'
              << "listening operator " << ports.operatorPort << '\n'
              << "listening peer " << ports.peer << std::endl;
}

asio::awaitable<void> stopOnSignal(asio::io_context &context, node::Node &node)
{
    asio::signal_set signals(context, SIGTERM, SIGINT);
    co_await signals.async_wait(asio::use_awaitable);
    co_await node.stop();
    context.stop();
}

int runNode(const node::Settings &settings)
{
    telemetry::startLogging(settings->host.value(), settings->logLevel);
    asio::io_context context(static_cast<int>(settings->threads));
    node::Node node(context.get_executor(),
                    settings,
                    settings->logKind == node::LogKind::Store ? platform::makeProtocols(settings)
                                                              : node::ownProtocols());
    const auto ports = node.start();
    if (!ports) {
        telemetry::log(telemetry::Severity::Error, "start failed", {{"error", ports.error().detail()}});
        return ExitStart;
    }
    printPorts(*ports);
    telemetry::log(telemetry::Severity::Info, "started", {{"data_centre", settings->dataCentre.value()}});
    asio::co_spawn(context, stopOnSignal(context, node), asio::detached);
    std::vector<std::jthread> threads;
    for (std::uint32_t i = 1; i < settings->threads; ++i) {
        threads.emplace_back([&context] { context.run(); });
    }
    context.run();
    threads.clear();
    std::cout.flush();
    // Suspended coroutines refer to the node and to the context at once, so neither can be destroyed first.
    std::quick_exit(ExitOk);
}

}

int main(int argc, char **argv)
{
    options::options_description description("berylspringd [options]");
    description.add_options()("help,h", "print this text")("version", "print the version")(
        "settings,s", options::value<std::string>()->value_name("FILE"), "settings in INI format")(
        "check-settings", "check the settings and exit");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
    } catch (const options::error &error) {
        std::cerr << "berylspringd: " << error.what() << '\n' << description;
        return ExitUsage;
    }
    if (values.contains("help")) {
        std::cout << description << "Exit codes: 0 stopped as planned, 2 usage, 3 settings, 4 start failed\n";
        return ExitOk;
    }
    if (values.contains("version")) {
        std::cout << "berylspringd " << BERYLSPRING_VERSION << '\n';
        return ExitOk;
    }
    if (!values.contains("settings")) {
        std::cerr << "berylspringd: --settings FILE is needed\n" << description;
        return ExitUsage;
    }
    const auto settings = node::loadSettings(values["settings"].as<std::string>());
    if (!settings) {
        std::cerr << "berylspringd: " << settings.error().detail() << '\n';
        return ExitSettings;
    }
    if (values.contains("check-settings")) {
        std::cout << "settings are valid\n";
        return ExitOk;
    }
    return runNode(*settings);
}
