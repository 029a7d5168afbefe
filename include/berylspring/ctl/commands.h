#pragma once

#include "berylspring/ctl/exit_code.h"
#include "berylspring/ctl/options.h"

#include <ostream>

namespace berylspring::ctl {

/**
 * @brief Runs one command against a node.
 * @param options The command and its options.
 * @param out Results.
 * @param err Errors for people.
 */
[[nodiscard]] ExitCode runCommand(const Options &options, std::ostream &out, std::ostream &err);

}
