#pragma once

#include "berylspring/config/catalogue.h"
#include "berylspring/config/config_hooks.h"
#include "berylspring/config/config_settings.h"
#include "berylspring/config/error.h"
#include "berylspring/config/write_outcome.h"
#include "berylspring/core/digest.h"
#include "berylspring/wire/messages.h"

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace berylspring::config {

namespace detail {
class ServiceCore;
}

/**
 * @brief Keeps the node's catalogue up to date from the log and from peers, and writes changes to the log.
 *
 * All methods may be called from several threads. Coroutines that run may outlive the service; they end after stop().
 */
class ConfigService
{
public:
    ConfigService(boost::asio::any_io_executor executor, ConfigSettings settings, ConfigHooks hooks);
    /** @brief Stops the service. */
    ~ConfigService();
    ConfigService(const ConfigService &) = delete;
    ConfigService &operator=(const ConfigService &) = delete;

    /** @brief Starts following the log; call it once. */
    void start();
    /** @brief Ends the background work; pending withdrawals that no peer holds are lost. */
    void stop();

    /** @return The current catalogue, never null. */
    [[nodiscard]] std::shared_ptr<const Catalogue> catalogue() const;

    /** @return Whether the node has a configuration that was once up to date with the log or with a peer. */
    [[nodiscard]] bool isReady() const;

    /**
     * @brief Creates or replaces a resource.
     * @param type Type of the resource.
     * @param name Its name.
     * @param json JSON object as for parseResource().
     * @param expectedVersion 0: it must not exist; N: its version is N; nothing: any.
     * @return Recorded with the offset, or Invalid, Conflict or Unavailable.
     */
    [[nodiscard]] boost::asio::awaitable<Result<WriteOutcome>>
    put(ResourceType type, std::string name, std::string json, std::optional<core::Offset> expectedVersion);

    /**
     * @brief Deletes a resource. The deletion of a key withdraws it for good, here at once.
     *
     * A withdrawal that neither the log nor a peer holds yet is Unavailable with maybeApplied(); it is in force here
     * and is tried again in the background.
     * @return As for put(), or NotFound, or Announced.
     */
    [[nodiscard]] boost::asio::awaitable<Result<WriteOutcome>>
    remove(ResourceType type, std::string name, std::optional<core::Offset> expectedVersion);

    /**
     * @brief Fetches records from a peer that was heard to be ahead.
     *
     * At most one pull runs at a time; the call with the highest offset that comes meanwhile runs after it, and the
     * others return at once.
     */
    [[nodiscard]] boost::asio::awaitable<void> pullFrom(core::HostId peer, core::Offset offset);

    /** @brief Answers RecordPull and Tombstone; other messages are Refused. */
    [[nodiscard]] boost::asio::awaitable<wire::Message> handle(core::HostId from, wire::Message message);

    /**
     * @return A time at which the catalogue held all records of the log; nothing before the first such time. It is the
     * sending time of the read that showed the end of the log, here or at the peer that passed the records on.
     */
    [[nodiscard]] std::optional<core::TimePoint> provenAt() const;

    /** @return When the log last answered. */
    [[nodiscard]] std::optional<core::TimePoint> lastLogContact() const;

    /** @return Whether the key was withdrawn, by the catalogue or by a tombstone that is not yet in it. */
    [[nodiscard]] bool isKeyWithdrawn(const core::Digest &digest) const;

private:
    std::shared_ptr<detail::ServiceCore> m_core;
};

}
