#include "integration/harness/bench_run.h"
#include "integration/harness/bench_scenario.h"
#include "tools/common/tool_run.h"

#include <fstream>
#include <iomanip>
#include <iostream>

#include <boost/json.hpp>
#include <boost/program_options.hpp>

namespace po = boost::program_options;
namespace json = boost::json;
using namespace berylspring;

namespace {

struct Arguments
{
    std::string scenario;
    std::string size;
    std::string output;
    double scale = 0;
    double serviceMs = 0;
    double phaseSeconds = 0;
};

po::variables_map parse(int argc, char **argv, Arguments &arguments)
{
    po::options_description options("berylspring-bench");
    auto add = options.add_options();
    add("help", "print this text");
    add("scenario", po::value(&arguments.scenario)->default_value("all"), "a name, or all");
    add("sizes", po::value(&arguments.size)->default_value("abay"), "abay or ozolzars");
    add("scale", po::value(&arguments.scale)->default_value(0.25), "factor for slots, 0.01 to 1");
    add("service-ms",
        po::value(&arguments.serviceMs)->default_value(40),
        "mean time of the deepest service, 1 to 1000");
    add("phase-s", po::value(&arguments.phaseSeconds)->default_value(4), "length of each of three phases, 2 to 60");
    add("output", po::value(&arguments.output), "file for the results as JSON");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
    if (values.contains("help")) {
        std::cout << options << "scenarios:";
        for (const std::string &name : test::scenarioNames()) {
            std::cout << ' ' << name;
        }
        std::cout << '\n';
        std::exit(0);
    }
    if (arguments.serviceMs < 1 || arguments.serviceMs > 1000) {
        throw po::error("--service-ms is 1 to 1000");
    }
    if (arguments.scale < 0.01 || arguments.scale > 1 || arguments.phaseSeconds < 2 || arguments.phaseSeconds > 60) {
        throw po::error("--scale is 0.01 to 1 and --phase-s 2 to 60");
    }
    return values;
}

std::string formatValue(const json::value &value)
{
    std::ostringstream text;
    if (value.is_number()) {
        text << std::setprecision(4) << value.to_number<double>();
    } else {
        text << (value.is_null() ? "-" : json::serialize(value));
    }
    return text.str();
}

void printTable(const std::string &scenario, const json::object &on, const json::object &off)
{
    constexpr int NameWidth = 36;
    constexpr int ValueWidth = 14;
    std::cout << '\n'
              << std::left << std::setw(NameWidth) << scenario << std::right << std::setw(ValueWidth) << "controls on"
              << std::setw(ValueWidth) << "off" << '\n';
    json::object names = on;
    names.insert(off.begin(), off.end()); // A failed run lacks figures; insert() does not replace existing members.
    for (const auto &entry : names) {
        if (entry.value().is_object()) {
            continue;
        }
        std::cout << std::left << std::setw(NameWidth) << std::string(entry.key()) << std::right;
        for (const json::object *result : {&on, &off}) {
            const json::value *value = result->if_contains(entry.key());
            std::cout << std::setw(ValueWidth) << (value == nullptr ? "-" : formatValue(*value));
        }
        std::cout << '\n';
    }
    std::cout << std::flush;
}

/** @return The result, or an object with the member `error`, so that a failed run does not end the others. */
json::object runScenarioOrError(const std::string &scenario, const test::BenchSettings &settings)
{
    try {
        return test::runScenario(scenario, settings);
    } catch (const std::exception &error) {
        return {{"error", error.what()}};
    }
}

}

int main(int argc, char **argv)
{
    try {
        Arguments arguments;
        parse(argc, argv, arguments);
        tools::raiseOpenFileLimit();
        json::object results;
        for (const std::string &name : test::scenarioNames()) {
            if (arguments.scenario != "all" && arguments.scenario != name) {
                continue;
            }
            json::object pair;
            for (const bool areControlsOn : {true, false}) {
                const test::DeploymentSize size =
                    test::deploymentSize(arguments.size, arguments.scale)
                        .with(&test::DeploymentSizeFields::serviceMs, arguments.serviceMs);
                const test::BenchSettings settings{.size = size,
                                                   .phase = std::chrono::duration_cast<core::Duration>(
                                                       std::chrono::duration<double>(arguments.phaseSeconds)),
                                                   .areControlsOn = areControlsOn};
                pair[areControlsOn ? "on" : "off"] = runScenarioOrError(name, settings);
            }
            printTable(name, pair["on"].as_object(), pair["off"].as_object());
            results[name] = std::move(pair);
        }
        if (results.empty()) {
            throw po::error("no scenario " + arguments.scenario);
        }
        if (!arguments.output.empty()) {
            std::ofstream(arguments.output) << json::serialize(json::object{{"size", arguments.size},
                                                                            {"scale", arguments.scale},
                                                                            {"service_ms", arguments.serviceMs},
                                                                            {"phase_s", arguments.phaseSeconds},
                                                                            {"scenarios", results}})
                                            << '\n';
        }
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "berylspring-bench: " << error.what() << '\n';
        return 1;
    }
}
