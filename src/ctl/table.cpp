#include "berylspring/ctl/table.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>
#include <vector>

#include <boost/json.hpp>

namespace berylspring::ctl {

namespace {

using Row = std::vector<std::string>;

std::string cellOf(const boost::json::value &value)
{
    return value.is_string() ? std::string(value.as_string()) : boost::json::serialize(value);
}

std::vector<std::string> columnsOf(const boost::json::array &items)
{
    std::vector<std::string> columns;
    for (const auto &item : items) {
        for (const auto &member : item.as_object()) {
            if (std::find(columns.begin(), columns.end(), std::string(member.key())) == columns.end()) {
                columns.emplace_back(member.key());
            }
        }
    }
    // The identifying columns come first.
    std::stable_partition(
        columns.begin(), columns.end(), [](const std::string &column) { return column == "name" || column == "host"; });
    return columns;
}

bool isListOfObjects(const boost::json::value &value)
{
    const auto isObject = [](const boost::json::value &item) { return item.is_object(); };
    return value.is_array() && std::all_of(value.as_array().begin(), value.as_array().end(), isObject);
}

std::string layOut(const std::vector<Row> &rows)
{
    std::vector<std::size_t> widths;
    for (const Row &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::ostringstream text;
    for (const Row &row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            const bool isLast = i + 1 == row.size();
            text << row[i] << (isLast ? "" : std::string(widths[i] - row[i].size() + 2, ' '));
        }
        text << '\n';
    }
    return text.str();
}

/** @return The number with about four digits of its fraction. The part before the point is kept, as limits have one. */
std::string roundedText(double value)
{
    constexpr double Digits = 4;
    const double magnitude = value == 0 ? 0 : std::max(0.0, std::floor(std::log10(std::abs(value))));
    std::ostringstream text;
    text << std::setprecision(static_cast<int>(Digits + magnitude)) << value;
    return text.str();
}

/** @return The members with fractions rounded, and the members of an object in it as members "NAME.MEMBER". */
boost::json::object rounded(const boost::json::object &object)
{
    boost::json::object result;
    for (const auto &[name, value] : object) {
        if (value.is_object()) {
            for (const auto &member : rounded(value.as_object())) {
                result[std::string(name) + "." + std::string(member.key())] = member.value();
            }
        } else if (value.is_double()) {
            result[name] = roundedText(value.as_double());
        } else {
            result[name] = value;
        }
    }
    return result;
}

}

std::string toTable(std::string_view json)
{
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(json, error);
    if (error || !value.is_object()) {
        return std::string(json) + "\n";
    }
    std::vector<Row> rows;
    const boost::json::value *items = value.as_object().if_contains("items");
    if (items != nullptr && isListOfObjects(*items)) {
        const std::vector<std::string> columns = columnsOf(items->as_array());
        rows.push_back(columns);
        for (const auto &item : items->as_array()) {
            Row row;
            for (const std::string &column : columns) {
                const boost::json::value *member = item.as_object().if_contains(column);
                row.push_back(member == nullptr ? "-" : cellOf(*member));
            }
            rows.push_back(std::move(row));
        }
    } else {
        for (const auto &member : value.as_object()) {
            rows.push_back({std::string(member.key()), cellOf(member.value())});
        }
    }
    return layOut(rows);
}

std::string explanationTable(std::string_view json)
{
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(json, error);
    const boost::json::value *services =
        error || !value.is_object() ? nullptr : value.as_object().if_contains("services");
    if (services == nullptr || !isListOfObjects(*services)) {
        return toTable(json);
    }
    boost::json::object answer = value.as_object();
    answer.erase("services");
    std::string text = toTable(boost::json::serialize(rounded(answer)));
    for (const auto &item : services->as_array()) {
        boost::json::object service = item.as_object();
        boost::json::array endpoints;
        if (isListOfObjects(service["endpoints"])) {
            for (const auto &endpoint : service["endpoints"].as_array()) {
                endpoints.push_back(rounded(endpoint.as_object()));
            }
        }
        service.erase("endpoints");
        text += "\n" + toTable(boost::json::serialize(rounded(service)));
        if (!endpoints.empty()) {
            text += "\n" + toTable(boost::json::serialize(boost::json::object{{"items", std::move(endpoints)}}));
        }
    }
    return text;
}

}
