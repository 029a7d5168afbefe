#include "berylspring/core/types.h"

#include <random>

namespace berylspring::core {

RandomSource systemRandom()
{
    return [] {
        thread_local std::mt19937_64 generator{std::random_device{}()};
        return generator();
    };
}

}
