#include "config/json_reader.h"

#include "berylspring/core/name.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <utility>

namespace berylspring::config::detail {

namespace json = boost::json;

namespace {

constexpr std::size_t MaxQuotedLength = 80;
constexpr std::size_t MaxDepth = 8;

json::string_view view(std::string_view text)
{
    return {text.data(), text.size()};
}

/** Truncates long values, so that error messages do not repeat a large document. */
std::string truncated(const json::value &value)
{
    std::string text = json::serialize(value);
    if (text.size() > MaxQuotedLength) {
        text = text.substr(0, MaxQuotedLength) + "...";
    }
    return text;
}

std::string rangeText(double minimum, double maximum)
{
    std::ostringstream text;
    text << "a number from " << minimum << " to " << maximum;
    return text.str();
}

}

Result<json::object> parseObject(std::string_view text)
{
    json::parse_options options;
    options.max_depth = MaxDepth;
    boost::system::error_code ec;
    json::value value = json::parse(view(text), ec, {}, options);
    if (ec) {
        return tl::unexpected(Error::invalid("", "the text", "JSON (" + ec.message() + ")"));
    }
    if (!value.is_object()) {
        return tl::unexpected(Error::invalid("", truncated(value), "a JSON object"));
    }
    return std::move(value.as_object());
}

const json::value *JsonReader::find(std::string_view member, bool isRequired, const std::string &range)
{
    m_known.push_back(member);
    const json::value *value = m_object.if_contains(view(member));
    if (value == nullptr && isRequired && !m_error) {
        m_error = Error::invalid(std::string(member), "a missing value", range);
    }
    return value;
}

void JsonReader::fail(std::string_view member, const std::string &range)
{
    if (!m_error) {
        const json::value *value = m_object.if_contains(view(member));
        m_error = Error::invalid(std::string(member), value == nullptr ? "a missing value" : truncated(*value), range);
    }
}

std::string JsonReader::name(std::string_view member)
{
    static const std::string range = "a name of 1 to 63 characters of a-z, 0-9 and '-' without '-' at the ends";
    const json::value *value = find(member, true, range);
    if (value == nullptr) {
        return {};
    }
    const json::string *text = value->if_string();
    if (text == nullptr || !core::isValidName(std::string_view(text->data(), text->size()))) {
        fail(member, range);
        return {};
    }
    return {text->data(), text->size()};
}

std::string JsonReader::text(std::string_view member)
{
    const json::value *value = find(member, true, "a string");
    if (value == nullptr) {
        return {};
    }
    const json::string *text = value->if_string();
    if (text == nullptr) {
        fail(member, "a string");
        return {};
    }
    return {text->data(), text->size()};
}

double JsonReader::number(std::string_view member, double minimum, double maximum, std::optional<double> fallback)
{
    const json::value *value = find(member, !fallback, rangeText(minimum, maximum));
    if (value == nullptr) {
        return fallback.value_or(minimum);
    }
    boost::system::error_code ec;
    const double number = value->is_number() ? value->to_number<double>(ec) : 0;
    if (!value->is_number() || ec || !std::isfinite(number) || number < minimum || number > maximum) {
        fail(member, rangeText(minimum, maximum));
        return minimum;
    }
    return number;
}

std::uint64_t JsonReader::integer(std::string_view member,
                                  std::uint64_t minimum,
                                  std::uint64_t maximum,
                                  std::optional<std::uint64_t> fallback)
{
    const std::string range = "an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    const json::value *value = find(member, !fallback, range);
    if (value == nullptr) {
        return fallback.value_or(minimum);
    }
    boost::system::error_code ec;
    const bool isInteger = value->is_int64() || value->is_uint64();
    const auto number = isInteger ? value->to_number<std::uint64_t>(ec) : 0;
    if (!isInteger || ec || number < minimum || number > maximum) {
        fail(member, range);
        return minimum;
    }
    return number;
}

bool JsonReader::boolean(std::string_view member, std::optional<bool> fallback)
{
    const json::value *value = find(member, !fallback, "true or false");
    if (value == nullptr) {
        return fallback.value_or(false);
    }
    if (!value->is_bool()) {
        fail(member, "true or false");
        return false;
    }
    return value->get_bool();
}

const json::object *JsonReader::object(std::string_view member)
{
    const json::value *value = find(member, false, "");
    if (value != nullptr && !value->is_object()) {
        fail(member, "an object");
    }
    return value == nullptr ? nullptr : value->if_object();
}

const json::array *JsonReader::array(std::string_view member)
{
    const json::value *value = find(member, true, "an array");
    if (value != nullptr && !value->is_array()) {
        fail(member, "an array");
    }
    return value == nullptr ? nullptr : value->if_array();
}

bool JsonReader::contains(std::string_view member) const
{
    return m_object.contains(view(member));
}

std::optional<Error> JsonReader::finish()
{
    for (const auto &entry : m_object) {
        const std::string_view name(entry.key().data(), entry.key().size());
        if (!m_error && std::find(m_known.begin(), m_known.end(), name) == m_known.end()) {
            m_error = Error::invalid(std::string(name), truncated(entry.value()), "a known member");
        }
    }
    return m_error;
}

}
