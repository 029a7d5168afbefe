#include "berylspring/node/in_flight_table.h"

#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <span>

namespace berylspring::node {

namespace {

constexpr std::size_t TokenBytes = 16;
/** Tokens for which random bytes are drawn together, as the generator takes several microseconds for each call. */
constexpr std::size_t TokensPerDraw = 64;

/** @brief Random bytes that were drawn and not used yet. */
struct RandomBytes
{
    std::array<unsigned char, TokenBytes * TokensPerDraw> bytes{};
    std::size_t used = sizeof(bytes);
};

/** A token grants the rights of a workspace, so it comes from a cryptographic random generator. */
std::string makeToken(const core::RandomSource &fallback)
{
    thread_local RandomBytes random;
    if (random.used == random.bytes.size()) {
        if (RAND_bytes(random.bytes.data(), static_cast<int>(random.bytes.size())) != 1) {
            std::generate(
                random.bytes.begin(), random.bytes.end(), [&] { return static_cast<unsigned char>(fallback()); });
        }
        random.used = 0;
    }
    const auto bytes = std::span(random.bytes).subspan(random.used, TokenBytes);
    random.used += TokenBytes;
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string token;
    token.reserve(2 * TokenBytes);
    for (const unsigned char byte : bytes) {
        token.push_back(Digits[byte >> 4U]);
        token.push_back(Digits[byte & 0xfU]);
    }
    return token;
}

}

InFlightTable::InFlightTable(core::RandomSource random)
    : m_random(std::move(random))
{
}

std::string InFlightTable::add(InFlight request)
{
    std::string token = makeToken(m_random);
    m_requests.insertOrAssign(token, std::move(request));
    return token;
}

std::optional<InFlight> InFlightTable::remove(const std::string &token)
{
    return m_requests.update(token,
                             [](std::optional<InFlight> &request) { return std::exchange(request, std::nullopt); });
}

std::optional<InFlight> InFlightTable::find(const std::string &token) const
{
    return m_requests.find(token);
}

std::uint32_t InFlightTable::reserveRetryAllowance(const std::string &token)
{
    return m_requests.update(token, [](std::optional<InFlight> &request) -> std::uint32_t {
        if (!request) {
            return 0;
        }
        const std::uint32_t reserved = ((*request)->retryAllowance + 1) / 2;
        request = request->with(&InFlightFields::retryAllowance, (*request)->retryAllowance - reserved);
        return reserved;
    });
}

void InFlightTable::settleRetryAllowance(const std::string &token, std::uint32_t reserved, std::uint32_t spent)
{
    const std::uint32_t used = std::min(reserved, spent);
    m_requests.update(token, [&](std::optional<InFlight> &request) {
        if (request) {
            request = request->with(&InFlightFields::retryAllowance, (*request)->retryAllowance + (reserved - used))
                          .with(&InFlightFields::retriesSpent, (*request)->retriesSpent + used);
        }
    });
}

}
