#include "berylspring/http/messages.h"

#include <algorithm>
#include <cctype>

#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

namespace berylspring::http {

bool isSameHeaderName(std::string_view left, std::string_view right) noexcept
{
    const auto isSame = [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), isSame);
}

std::string_view headerValue(const wire::Headers &headers, std::string_view name) noexcept
{
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const wire::Header &header) {
        return isSameHeaderName(header.name, name);
    });
    return found == headers.end() ? std::string_view() : std::string_view(found->value);
}

std::string_view pathOf(std::string_view target) noexcept
{
    return target.substr(0, target.find('?'));
}

std::string queryParameter(std::string_view target, std::string_view name)
{
    const auto parsed = boost::urls::parse_origin_form(target);
    if (!parsed) {
        return {};
    }
    const auto parameters = parsed->params();
    const auto found = parameters.find(name);
    return found == parameters.end() ? std::string() : std::string((*found).value);
}

Response jsonResponse(std::uint16_t status, std::string json)
{
    return Response({.status = status, .headers = {{"Content-Type", "application/json"}}, .body = std::move(json)});
}

}
