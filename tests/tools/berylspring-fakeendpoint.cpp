#include "tools/common/fake_endpoint.h"
#include "tools/common/tool_run.h"

#include <iostream>
#include <map>

#include <boost/program_options.hpp>

namespace po = boost::program_options;
using namespace berylspring;

namespace {

constexpr std::size_t Threads = 2;

struct Arguments
{
    tools::EndpointSettings settings;
    double serviceMs = 1;
    std::string loadReporting = "on";
};

po::options_description describeOptions(Arguments &arguments)
{
    tools::EndpointSettings &settings = arguments.settings;
    po::options_description options("berylspring-fakeendpoint");
    auto add = options.add_options();
    add("help", "print this text");
    add("service", po::value(&settings.service)->default_value("service"), "name of the service");
    add("address", po::value(&settings.address)->default_value(settings.address), "IP number to bind");
    add("announce-address", po::value(&settings.announcedAddress), "IP:PORT to announce instead of the own one");
    add("port", po::value(&settings.port)->default_value(0), "0: a free one");
    add("control-port", po::value(&settings.controlPort)->default_value(0), "0: a free one");
    add("node-endpoint-port", po::value(&settings.nodeEndpointPort)->default_value(0), "0: no announcement");
    add("node-caller-port", po::value(&settings.nodeCallerPort)->default_value(0), "for nested calls");
    add("slots", po::value(&settings.slots)->default_value(settings.slots), "requests that run at a time");
    add("service-ms", po::value(&arguments.serviceMs)->default_value(arguments.serviceMs), "mean time of a request");
    add("jitter", po::value(&settings.jitter)->default_value(0)->implicit_value(0.5), "spread of the time, 0 to 1");
    add("report-load", po::value(&arguments.loadReporting)->default_value("on"), "on, stuck or off");
    add("crash-exits", po::bool_switch(&settings.doesAbortOnCrash), "?crash=1 aborts the process");
    add("no-header-record", "keep no header values");
    return options;
}

tools::EndpointSettings parse(int argc, char **argv)
{
    using tools::LoadReporting;
    const std::map<std::string, LoadReporting> reportings{
        {"on", LoadReporting::On}, {"stuck", LoadReporting::Stuck}, {"off", LoadReporting::Off}};
    Arguments arguments;
    const po::options_description options = describeOptions(arguments);
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
    if (values.contains("help")) {
        std::cout << options;
        std::exit(0);
    }
    arguments.settings.loadReporting = reportings.at(arguments.loadReporting);
    arguments.settings.isHeaderRecordOn = !values.contains("no-header-record");
    arguments.settings.serviceTime =
        std::chrono::duration_cast<core::Duration>(std::chrono::duration<double, std::milli>(arguments.serviceMs));
    return arguments.settings;
}

}

int main(int argc, char **argv)
{
    try {
        const tools::EndpointSettings settings = parse(argc, argv);
        std::shared_ptr<tools::FakeEndpoint> endpoint;
        const tools::ToolHooks hooks{.start =
                                         [&](const boost::asio::any_io_executor &executor) {
                                             endpoint = std::make_shared<tools::FakeEndpoint>(executor, settings);
                                             const auto started = endpoint->start();
                                             if (!started) {
                                                 std::cerr << started.error().detail() << '\n';
                                                 return false;
                                             }
                                             std::cout << "listening service " << endpoint->port() << '\n'
                                                       << "listening control " << endpoint->controlPort() << std::endl;
                                             return true;
                                         },
                                     .stop = [&] { return endpoint->stop(); }};
        return tools::runTool(Threads, hooks);
    } catch (const std::exception &error) {
        std::cerr << "berylspring-fakeendpoint: " << error.what() << '\n';
        return 1;
    }
}
