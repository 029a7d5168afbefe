#pragma once

#include "berylspring/config/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json.hpp>

namespace berylspring::config::detail {

/** @brief Parses a JSON object without throwing. The parser does not detect duplicate members; the last one wins. */
[[nodiscard]] Result<boost::json::object> parseObject(std::string_view text);

/**
 * @brief Reads the members of an object strictly and keeps the first error.
 *
 * After all members were read, finish() returns the first error, or an error for a member that was not read.
 */
class JsonReader
{
public:
    explicit JsonReader(const boost::json::object &object)
        : m_object(object)
    {
    }

    /** @brief Reads a required member that is a valid name (core::isValidName). */
    [[nodiscard]] std::string name(std::string_view member);
    [[nodiscard]] std::string text(std::string_view member);
    [[nodiscard]] double
    number(std::string_view member, double minimum, double maximum, std::optional<double> fallback = {});
    [[nodiscard]] std::uint64_t integer(std::string_view member,
                                        std::uint64_t minimum,
                                        std::uint64_t maximum,
                                        std::optional<std::uint64_t> fallback = {});
    [[nodiscard]] bool boolean(std::string_view member, std::optional<bool> fallback = {});
    /** @return Null if the member is missing or not an object. */
    [[nodiscard]] const boost::json::object *object(std::string_view member);
    [[nodiscard]] const boost::json::array *array(std::string_view member);
    [[nodiscard]] bool contains(std::string_view member) const;

    /** @brief Records an error that the caller detected in a member. */
    void fail(std::string_view member, const std::string &range);

    [[nodiscard]] std::optional<Error> finish();

private:
    const boost::json::value *find(std::string_view member, bool isRequired, const std::string &range);

    const boost::json::object &m_object;
    std::vector<std::string_view> m_known;
    std::optional<Error> m_error;
};

}
