#include "berylspring/ctl/options.h"

#include <cstdlib>
#include <fstream>
#include <sstream>

#include <boost/program_options.hpp>

namespace berylspring::ctl {

namespace {

namespace po = boost::program_options;

constexpr const char *Commands =
    "Commands:\n"
    "  get TYPE NAME                       show one resource and its version\n"
    "  list TYPE                           show all resources of a type\n"
    "  apply -f FILE                       create or replace the resources in a JSON file\n"
    "  delete TYPE NAME                    delete a resource\n"
    "  evacuate DC                         send nothing more to the endpoints of a data centre\n"
    "  return DC                           end the evacuation of a data centre\n"
    "  key create NAME --workspace W       make a key, show it once, store its digest\n"
    "  key withdraw NAME                   withdraw a key for good\n"
    "  watch [--from N]                    print changes until they are in force\n"
    "  status [CHANGE]                     show the nodes, or where a change is in force\n"
    "  explain --path P [--method M] [--host-header H] [--workspace W] [--priority N]\n"
    "          [--data-centre DC] [--nested]\n"
    "                                      show where the node would route a request, and why\n"
    "  completion                          print a completion script for bash\n"
    "TYPE is workspaces, keys, limits, priorities, routes, request-limits, services or\n"
    "evacuations.\n"
    "Exit codes: 0 done, 1 refused, 2 usage, 3 not found, 4 conflict, 5 unavailable,\n"
    "6 not authorized, 7 not in force in time.\n";

po::options_description visibleOptions()
{
    po::options_description description("Options");
    description.add_options()("help,h", "print this text")("version", "print the version")(
        "address,a", po::value<std::string>()->default_value("127.0.0.1:7003"), "operator port of a node")(
        "token-file", po::value<std::string>(), "file with the operator token; else BERYLSPRING_TOKEN")(
        "output,o", po::value<std::string>()->default_value("table"), "table or json")(
        "file,f", po::value<std::string>(), "resources for apply")(
        "workspace,w", po::value<std::string>(), "workspace of a new key, or of the explained request")(
        "if-match", po::value<std::string>(), "write only if this is the version")(
        "from", po::value<std::string>(), "first change of a watch")(
        "wait", po::value<unsigned>()->default_value(0), "seconds to wait until a change is in force")(
        "method", po::value<std::string>()->default_value("GET"), "method of the explained request")(
        "path", po::value<std::string>(), "path of the explained request")(
        "host-header", po::value<std::string>(), "Host field of the explained request")(
        "priority", po::value<std::string>(), "its priority, 0 to 7; else as configured")(
        "data-centre", po::value<std::string>(), "explain as if the node were there")(
        "nested", po::bool_switch(), "explain a call that an endpoint makes");
    return description;
}

std::string tokenOf(const po::variables_map &values)
{
    std::string token;
    if (values.contains("token-file")) {
        std::ifstream(values["token-file"].as<std::string>()) >> token;
    } else if (const char *variable = std::getenv("BERYLSPRING_TOKEN")) {
        token = variable;
    }
    return token;
}

std::string textOf(const po::variables_map &values, const char *name)
{
    return values.contains(name) ? values[name].as<std::string>() : std::string();
}

po::variables_map parse(const std::vector<std::string> &arguments)
{
    po::options_description all = visibleOptions();
    all.add_options()("command", po::value<std::vector<std::string>>());
    po::positional_options_description positional;
    positional.add("command", -1);
    po::variables_map values;
    po::store(po::command_line_parser(arguments).options(all).positional(positional).run(), values);
    return values;
}

}

tl::expected<Options, std::string> parseOptions(const std::vector<std::string> &arguments)
{
    po::variables_map values;
    try {
        values = parse(arguments);
    } catch (const po::error &error) {
        return tl::unexpected(std::string(error.what()) + "\n" + usageText());
    }
    if (values.contains("help") || (!values.contains("command") && !values.contains("version"))) {
        return tl::unexpected(usageText());
    }
    Options options{.address = textOf(values, "address"),
                    .token = tokenOf(values),
                    .file = textOf(values, "file"),
                    .workspace = textOf(values, "workspace"),
                    .ifMatch = textOf(values, "if-match"),
                    .from = textOf(values, "from"),
                    .waitSeconds = values["wait"].as<unsigned>(),
                    .method = textOf(values, "method"),
                    .path = textOf(values, "path"),
                    .hostHeader = textOf(values, "host-header"),
                    .priority = textOf(values, "priority"),
                    .dataCentre = textOf(values, "data-centre"),
                    .isNested = values["nested"].as<bool>()};
    const std::string output = textOf(values, "output");
    if (output != "table" && output != "json") {
        return tl::unexpected("--output is \"" + output + "\": must be table or json\n");
    }
    options.output = output == "json" ? OutputFormat::Json : OutputFormat::Table;
    options.command = values.contains("version") ? std::vector<std::string>{"version"}
                                                 : values["command"].as<std::vector<std::string>>();
    return options;
}

std::string usageText()
{
    std::ostringstream text;
    text << "berylspringctl [options] COMMAND\n" << Commands << visibleOptions();
    return text.str();
}

std::string completionScript()
{
    return "_berylspringctl() {\n"
           "    local words='get list apply delete evacuate return key watch status explain completion create "
           "withdraw\n"
           "        workspaces keys limits priorities routes request-limits services evacuations --address "
           "--token-file --output --file\n"
           "        --workspace --if-match --from --wait --method --path --host-header --priority --data-centre "
           "--nested --help --version'\n"
           "    COMPREPLY=($(compgen -W \"$words\" -- \"${COMP_WORDS[COMP_CWORD]}\"))\n"
           "}\n"
           "complete -F _berylspringctl berylspringctl\n";
}

}
