#pragma once

#include "berylspring/config/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json.hpp>

namespace berylspring::config::detail {

/** @brief Converts JSON text without throwing; duplicate members are not detected by the parser and the last counts. */
[[nodiscard]] Result<boost::json::object> parseObject(std::string_view text);

/**
 * @brief Reads the members of one object strictly and keeps the first error.
 *
 * After the members were read, finish() reports that error, or a member that nobody asked for.
 */
class JsonReader
{
public:
    explicit JsonReader(const boost::json::object &object)
        : m_object(object)
    {
    }

    /** @brief A valid name (core::isValidName). */
    [[nodiscard]] std::string name(std::string_view member);
    [[nodiscard]] std::string text(std::string_view member);
    [[nodiscard]] double
    number(std::string_view member, double least, double most, std::optional<double> fallback = {});
    [[nodiscard]] std::uint64_t integer(std::string_view member,
                                        std::uint64_t least,
                                        std::uint64_t most,
                                        std::optional<std::uint64_t> fallback = {});
    [[nodiscard]] bool boolean(std::string_view member, std::optional<bool> fallback = {});
    /** @return Nothing when the member is absent or wrong. */
    [[nodiscard]] const boost::json::object *object(std::string_view member);
    [[nodiscard]] const boost::json::array *array(std::string_view member);
    [[nodiscard]] bool contains(std::string_view member) const;

    /** @brief Records an error about a member that the caller found. */
    void fail(std::string_view member, const std::string &range);

    [[nodiscard]] std::optional<Error> finish();

private:
    const boost::json::value *find(std::string_view member, bool isRequired, const std::string &range);

    const boost::json::object &m_object;
    std::vector<std::string_view> m_known;
    std::optional<Error> m_error;
};

}
