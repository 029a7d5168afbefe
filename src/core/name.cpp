#include "berylspring/core/name.h"

#include <algorithm>

namespace berylspring::core {

namespace {

constexpr std::size_t MaxNameLength = 63;

bool isLetterOrDigit(char c) noexcept
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}

}

bool isValidName(std::string_view text) noexcept
{
    if (text.empty() || text.size() > MaxNameLength) {
        return false;
    }
    if (!isLetterOrDigit(text.front()) || !isLetterOrDigit(text.back())) {
        return false;
    }
    return std::all_of(text.begin(), text.end(), [](char c) { return isLetterOrDigit(c) || c == '-'; });
}

}
