#pragma once

#include "berylspring/config/config_hooks.h"
#include "berylspring/config/config_settings.h"
#include "config/catalogue_store.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace berylspring::config::detail {

/** @brief State shared by the components of the ConfigService. Thread-safe. */
class ServiceContext
{
public:
    ServiceContext(boost::asio::any_io_executor executor, ConfigSettings settings, ConfigHooks hooks)
        : m_executor(std::move(executor))
        , m_settings(std::move(settings))
        , m_hooks(std::move(hooks))
        , m_store(m_settings.historyRecords)
    {
    }

    [[nodiscard]] const boost::asio::any_io_executor &executor() const noexcept
    {
        return m_executor;
    }
    [[nodiscard]] const ConfigSettings &settings() const noexcept
    {
        return m_settings;
    }
    [[nodiscard]] const ConfigHooks &hooks() const noexcept
    {
        return m_hooks;
    }
    [[nodiscard]] CatalogueStore &store() noexcept
    {
        return m_store;
    }
    [[nodiscard]] core::TimePoint now() const
    {
        return m_hooks.now();
    }

    [[nodiscard]] bool isReady() const
    {
        return m_isUpToDate && m_store.appliedOffset() > 0;
    }
    /** @brief Marks the catalogue as up to date: the end of the log or of a peer's records was reached. */
    void markUpToDate() noexcept
    {
        m_isUpToDate = true;
    }

    [[nodiscard]] bool isStopped() const noexcept
    {
        return m_isStopped;
    }
    void markStopped() noexcept
    {
        m_isStopped = true;
    }

    void recordLogContact();
    /** @brief Records the generation of a page of the log; lower ones are ignored. */
    void recordLogGeneration(std::uint64_t generation);
    /** @return Highest generation of the log that this node has read; 0 if it has read none. */
    [[nodiscard]] std::uint64_t logGeneration() const;
    [[nodiscard]] std::optional<core::TimePoint> lastLogContact() const;
    /** @brief Records that the store holds all records that the log had at `at`; earlier times are ignored. */
    void recordProof(core::TimePoint at);
    [[nodiscard]] std::optional<core::TimePoint> provenAt() const;
    /** @return Age of the newest proof; core::Duration::max() if there is none. */
    [[nodiscard]] core::Duration proofAge(core::TimePoint now) const;

    /** @return Time of the last response of the log or the last new records, whichever is later. */
    [[nodiscard]] std::optional<core::TimePoint> lastContact() const;

    /** @brief Calls the hooks for new records and reports malformed ones. */
    void notifyChange(const StoreChange &change);
    void report(std::string text) const;

    /** @return A random operation identifier, 128 bits as a valid name. */
    [[nodiscard]] std::string newOperationId() const;
    /** @return The duration times a random factor from 0.75 to 1.25, so that nodes do not act at the same time. */
    [[nodiscard]] core::Duration jittered(core::Duration duration) const;

private:
    const boost::asio::any_io_executor m_executor;
    const ConfigSettings m_settings;
    const ConfigHooks m_hooks;
    CatalogueStore m_store;
    std::atomic<bool> m_isUpToDate = false;
    std::atomic<bool> m_isStopped = false;
    mutable std::mutex m_logMutex;
    std::optional<core::TimePoint> m_lastLogContact;
    std::optional<core::TimePoint> m_lastContact;
    std::optional<core::TimePoint> m_provenAt;
    std::uint64_t m_logGeneration = 0;
};
using ContextPtr = std::shared_ptr<ServiceContext>;

/** @brief Waits on a timer of the running coroutine's executor. */
[[nodiscard]] boost::asio::awaitable<void> sleepFor(core::Duration duration);

}
