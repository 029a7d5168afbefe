#pragma once

namespace berylspring::core {

template<typename Tag>
class Name;
template<typename Fields>
class Immutable;
template<typename Key, typename Value>
class ShardedMap;
class Digest;
class Refusal;
enum class Outcome;
enum class RefusalReason;

}
