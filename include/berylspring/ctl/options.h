#pragma once

#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace berylspring::ctl {

enum class OutputFormat {
    Table,
    Json,
};

/** @brief The command line, parsed. */
struct Options
{
    std::string address; ///< Operator port of a node, "IP:PORT".
    std::string token; ///< From the file of --token-file or the environment.
    OutputFormat output = OutputFormat::Table;
    std::string file; ///< Of apply.
    std::string workspace; ///< Of key create.
    std::string ifMatch; ///< Expected version of a write.
    std::string from; ///< First change of a watch.
    unsigned waitSeconds = 0; ///< Wait so long for a change to be in force; 0: do not wait.
    std::vector<std::string> command; ///< Words that are not options.
    [[nodiscard]] bool operator==(const Options &) const = default;
};

/** @return The options, or a text for the user. A request for help is an error with the help text. */
[[nodiscard]] tl::expected<Options, std::string> parseOptions(const std::vector<std::string> &arguments);

/** @return Help for all commands. */
[[nodiscard]] std::string usageText();

/** @return A completion script for bash. */
[[nodiscard]] std::string completionScript();

}
