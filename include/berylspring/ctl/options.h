#pragma once

#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace berylspring::ctl {

enum class OutputFormat {
    Table,
    Json,
};

/** @brief Parsed command line. */
struct Options
{
    std::string address; ///< Operator port of a node, "IP:PORT".
    std::string token; ///< Operator token from --token-file or the environment variable.
    OutputFormat output = OutputFormat::Table;
    std::string file; ///< Resources for `apply`.
    std::string workspace; ///< Workspace for `key create` and `explain`.
    std::string ifMatch; ///< Expected version of a write.
    std::string from; ///< First change for `watch`.
    unsigned waitSeconds = 0; ///< Time to wait until a change is in force; 0: no wait.
    std::string method; ///< Method of the request for `explain`, as are the next ones.
    std::string path;
    std::string hostHeader; ///< Value of `Host`.
    std::string priority; ///< Empty: as configured.
    std::string dataCentre; ///< Empty: that of the node.
    bool isNested = false;
    std::vector<std::string> command; ///< Positional arguments: the command and its operands.
    [[nodiscard]] bool operator==(const Options &) const = default;
};

/** @return The options, or an error message for the user. A request for help is an error with the help text. */
[[nodiscard]] tl::expected<Options, std::string> parseOptions(const std::vector<std::string> &arguments);

/** @return Help text for all commands. */
[[nodiscard]] std::string usageText();

/** @return A completion script for bash. */
[[nodiscard]] std::string completionScript();

}
