#pragma once

#include "berylspring/http/explanation.h"
#include "berylspring/http/messages.h"

#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace berylspring::http {

/** @return The question in the query of `GET /v1/explain`; Invalid names the first parameter that cannot be read. */
[[nodiscard]] tl::expected<ExplainQuestion, ExplainError> parseExplainQuestion(std::string_view target);

/** @return The explanation as a JSON object; docs/OPERATIONS.md describes its members. */
[[nodiscard]] std::string toJson(const RequestExplanation &explanation);

/** @return The problem document of an error. */
[[nodiscard]] Response problemResponse(const ExplainError &error);

}
