#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace berylspring::core {

/**
 * @brief Map of immutable values, split into shards with a mutex each.
 *
 * Callbacks run with the mutex of one shard held: they must not block, suspend or access this map.
 */
template<typename Key, typename Value>
class ShardedMap
{
public:
    static constexpr std::size_t ShardCount = 16;

    [[nodiscard]] std::optional<Value> find(const Key &key) const
    {
        const Shard &shard = shardOf(key);
        const std::scoped_lock lock(shard.mutex);
        const auto found = shard.values.find(key);
        return found == shard.values.end() ? std::nullopt : std::optional<Value>(found->second);
    }

    void insertOrAssign(const Key &key, Value value)
    {
        Shard &shard = shardOf(key);
        const std::scoped_lock lock(shard.mutex);
        shard.values.insert_or_assign(key, std::move(value));
    }

    /** @return Whether the key was present. */
    bool erase(const Key &key)
    {
        Shard &shard = shardOf(key);
        const std::scoped_lock lock(shard.mutex);
        return shard.values.erase(key) > 0;
    }

    /**
     * @brief Replaces the value of a key atomically.
     * @param key The key.
     * @param change Called as change(std::optional<Value> &): sets, replaces or resets the value.
     * @return What change returns.
     */
    template<typename Change>
    auto update(const Key &key, Change &&change)
    {
        Shard &shard = shardOf(key);
        const std::scoped_lock lock(shard.mutex);
        const auto found = shard.values.find(key);
        std::optional<Value> value;
        if (found != shard.values.end()) {
            value.emplace(std::move(found->second));
        }
        const WriteBackGuard writeBack{shard, key, value};
        return std::invoke(std::forward<Change>(change), value);
    }

    /** @brief Calls visit(const Key &, const Value &) for each entry, one shard at a time. */
    template<typename Visit>
    void forEach(Visit &&visit) const
    {
        for (const Shard &shard : m_shards) {
            const std::scoped_lock lock(shard.mutex);
            for (const auto &[key, value] : shard.values) {
                visit(key, value);
            }
        }
    }

    /**
     * @brief Removes each entry for which condition(const Key &, const Value &) holds.
     * @return Number of removed entries.
     */
    template<typename Condition>
    std::size_t eraseIf(Condition &&condition)
    {
        std::size_t removed = 0;
        for (Shard &shard : m_shards) {
            const std::scoped_lock lock(shard.mutex);
            removed +=
                std::erase_if(shard.values, [&](const auto &entry) { return condition(entry.first, entry.second); });
        }
        return removed;
    }

    [[nodiscard]] std::size_t size() const
    {
        std::size_t total = 0;
        for (const Shard &shard : m_shards) {
            const std::scoped_lock lock(shard.mutex);
            total += shard.values.size();
        }
        return total;
    }

private:
    struct Shard
    {
        mutable std::mutex mutex;
        std::unordered_map<Key, Value> values;
    };

    /** Writes the value back when update() is left, also by an exception. */
    struct WriteBackGuard
    {
        Shard &shard;
        const Key &key;
        std::optional<Value> &value;

        ~WriteBackGuard()
        {
            if (value) {
                shard.values.insert_or_assign(key, std::move(*value));
            } else {
                shard.values.erase(key);
            }
        }
    };

    [[nodiscard]] Shard &shardOf(const Key &key)
    {
        return m_shards[std::hash<Key>{}(key) % ShardCount];
    }
    [[nodiscard]] const Shard &shardOf(const Key &key) const
    {
        return m_shards[std::hash<Key>{}(key) % ShardCount];
    }

    std::array<Shard, ShardCount> m_shards;
};

}
