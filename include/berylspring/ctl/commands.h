#pragma once

#include "berylspring/ctl/exit_code.h"
#include "berylspring/ctl/options.h"

#include <ostream>
#include <string>

namespace berylspring::ctl {

/** @return Target of the request that asks for an explanation, with the values percent-encoded. */
[[nodiscard]] std::string explainTarget(const Options &options);

/**
 * @brief Runs one command against the operator port of a node.
 * @param options The command and its options.
 * @param out Receives the results.
 * @param err Receives human-readable errors.
 */
[[nodiscard]] ExitCode runCommand(const Options &options, std::ostream &out, std::ostream &err);

}
