#include "config/path.h"

#include <algorithm>
#include <charconv>

namespace berylspring::config::detail {

namespace {

constexpr int Hexadecimal = 16;

bool isPrefixCharacter(char c) noexcept
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '.'
           || c == '_' || c == '~' || c == '/';
}

}

bool isValidPrefix(std::string_view prefix) noexcept
{
    if (prefix == "/") {
        return true;
    }
    return !prefix.empty() && prefix.size() <= MaxPrefixLength && prefix.back() != '/'
           && std::all_of(prefix.begin(), prefix.end(), isPrefixCharacter) && isUnambiguous(prefix);
}

bool isUnambiguous(std::string_view path) noexcept
{
    if (path.empty() || path.front() != '/' || path.find_first_of(std::string_view("\\;\0", 3)) != path.npos) {
        return false;
    }
    path.remove_prefix(1);
    while (!path.empty()) {
        const std::size_t end = std::min(path.find('/'), path.size());
        const std::string_view segment = path.substr(0, end);
        if (segment.empty() || segment == "." || segment == "..") {
            return false;
        }
        path.remove_prefix(std::min(end + 1, path.size()));
    }
    return true;
}

std::optional<std::string> decoded(std::string_view path)
{
    std::string result;
    result.reserve(path.size());
    while (!path.empty()) {
        if (path.front() != '%') {
            result.push_back(path.front());
            path.remove_prefix(1);
            continue;
        }
        unsigned char byte = 0;
        const std::string_view digits = path.substr(1, 2);
        const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), byte, Hexadecimal);
        if (digits.size() != 2 || ec != std::errc() || end != digits.data() + 2 || byte == '/' || byte == '\\') {
            return std::nullopt;
        }
        result.push_back(static_cast<char>(byte));
        path.remove_prefix(3);
    }
    return result;
}

}
