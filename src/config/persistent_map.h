#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace berylspring::config::detail {

/**
 * @brief Immutable hash map; a modified copy shares all buckets except the changed one.
 * @tparam Key Ordered and hashable.
 */
template<typename Key, typename Value>
class PersistentMap
{
public:
    /** With 10,000 entries, a change copies 256 pointers and about 40 entries. */
    static constexpr std::size_t BucketCount = 256;

    /** @return The value, or null; valid for the lifetime of any map that shares it. */
    template<typename Lookup>
    [[nodiscard]] const Value *find(const Lookup &key) const
    {
        if (!m_table) {
            return nullptr;
        }
        const auto &bucket = (*m_table)[std::hash<Lookup>{}(key) % BucketCount];
        if (!bucket) {
            return nullptr;
        }
        const auto found = std::lower_bound(bucket->begin(), bucket->end(), key, IsBefore{});
        return found == bucket->end() || found->first != key ? nullptr : &found->second;
    }

    /**
     * @brief Returns a copy with the key set to the value.
     * @param isKept Predicate on values; entries of the changed bucket for which it is false are dropped.
     */
    template<typename Condition>
    [[nodiscard]] PersistentMap with(const Key &key, Value value, Condition isKept) const
    {
        Bucket bucket = copyWithout(key, isKept);
        const auto place = std::lower_bound(bucket.begin(), bucket.end(), key, IsBefore{});
        bucket.emplace(place, key, std::move(value));
        return withBucket(key, std::move(bucket));
    }
    [[nodiscard]] PersistentMap with(const Key &key, Value value) const
    {
        return with(key, std::move(value), [](const Value &) { return true; });
    }

    [[nodiscard]] PersistentMap without(const Key &key) const
    {
        if (find(key) == nullptr) {
            return *this;
        }
        return withBucket(key, copyWithout(key, [](const Value &) { return true; }));
    }

    /** @brief Calls visit(const Key &, const Value &) in no particular order. */
    template<typename Visit>
    void forEach(Visit &&visit) const
    {
        if (!m_table) {
            return;
        }
        for (const auto &bucket : *m_table) {
            if (bucket) {
                for (const auto &entry : *bucket) {
                    visit(entry.first, entry.second);
                }
            }
        }
    }

    [[nodiscard]] std::size_t size() const
    {
        std::size_t count = 0;
        forEach([&](const Key &, const Value &) { ++count; });
        return count;
    }

private:
    using Bucket = std::vector<std::pair<Key, Value>>; ///< Sorted by key.
    using Table = std::array<std::shared_ptr<const Bucket>, BucketCount>;

    struct IsBefore
    {
        template<typename Lookup>
        bool operator()(const std::pair<Key, Value> &entry, const Lookup &key) const
        {
            return entry.first < key;
        }
    };

    template<typename Condition>
    [[nodiscard]] Bucket copyWithout(const Key &key, const Condition &isKept) const
    {
        Bucket copy;
        if (!m_table) {
            return copy;
        }
        const auto &bucket = (*m_table)[std::hash<Key>{}(key) % BucketCount];
        if (bucket) {
            copy.reserve(bucket->size() + 1);
            std::copy_if(bucket->begin(), bucket->end(), std::back_inserter(copy), [&](const auto &entry) {
                return entry.first != key && isKept(entry.second);
            });
        }
        return copy;
    }

    [[nodiscard]] PersistentMap withBucket(const Key &key, Bucket bucket) const
    {
        auto table = m_table ? std::make_shared<Table>(*m_table) : std::make_shared<Table>();
        (*table)[std::hash<Key>{}(key) % BucketCount] =
            bucket.empty() ? nullptr : std::make_shared<const Bucket>(std::move(bucket));
        PersistentMap copy;
        copy.m_table = std::move(table);
        return copy;
    }

    std::shared_ptr<const Table> m_table;
};

}
