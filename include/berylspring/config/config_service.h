#pragma once

#include "berylspring/config/catalogue.h"
#include "berylspring/config/config_hooks.h"
#include "berylspring/config/config_settings.h"
#include "berylspring/config/error.h"
#include "berylspring/config/write_outcome.h"
#include "berylspring/core/digest.h"
#include "berylspring/wire/messages.h"

#include <cstdint>
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
 * All methods are safe to call from several threads. Running coroutines may outlive the service; they end after
 * stop().
 */
class ConfigService
{
public:
    ConfigService(boost::asio::any_io_executor executor, ConfigSettings settings, ConfigHooks hooks);
    /** @brief Stops the service. */
    ~ConfigService();
    ConfigService(const ConfigService &) = delete;
    ConfigService &operator=(const ConfigService &) = delete;

    /** @brief Starts following the log. Must be called at most once. */
    void start();
    /** @brief Stops the background loops; pending withdrawals that no peer stores are lost. */
    void stop();

    /** @return The current catalogue, never null. */
    [[nodiscard]] std::shared_ptr<const Catalogue> catalogue() const;

    /** @return Whether the node has a configuration that has been up to date with the log or a peer at least once. */
    [[nodiscard]] bool isReady() const;

    /**
     * @brief Creates or replaces a resource.
     * @param type Type of the resource.
     * @param name Name of the resource.
     * @param json JSON object as for parseResource().
     * @param expectedVersion 0: the resource must not exist; N: its version must be N; no value: any version.
     * @return Recorded with the offset, or Invalid, Conflict or Unavailable.
     */
    [[nodiscard]] boost::asio::awaitable<Result<WriteOutcome>>
    put(ResourceType type, std::string name, std::string json, std::optional<core::Offset> expectedVersion);

    /**
     * @brief Deletes a resource. Deleting a key withdraws it permanently, with immediate effect on this node.
     *
     * A withdrawal that neither the log nor a peer has stored yet returns Unavailable with maybeApplied(); it is in
     * force on this node and is retried in the background.
     * @return As for put(), or NotFound, or Announced.
     */
    [[nodiscard]] boost::asio::awaitable<Result<WriteOutcome>>
    remove(ResourceType type, std::string name, std::optional<core::Offset> expectedVersion);

    /**
     * @brief Fetches records from a peer that has reported a higher offset.
     *
     * At most one pull runs at a time. Of the calls made meanwhile, the one with the highest offset runs next, and all
     * of them return at once.
     */
    [[nodiscard]] boost::asio::awaitable<void> pullFrom(core::HostId peer, core::Offset offset);

    /** @brief Handles RecordPull and Tombstone; other messages are answered with Refused. */
    [[nodiscard]] boost::asio::awaitable<wire::Message> handle(core::HostId from, wire::Message message);

    /**
     * @return Latest known time at which the catalogue held all records of the log; no value if there is none yet. It
     * is the time when the read that reached the end of the log was sent, by this node or by the peer that passed the
     * records on.
     */
    [[nodiscard]] std::optional<core::TimePoint> provenAt() const;

    /** @return Time of the last response of the log. */
    [[nodiscard]] std::optional<core::TimePoint> lastLogContact() const;

    /** @return Highest generation of the log that this node has read itself; 0 if it has read none. */
    [[nodiscard]] std::uint64_t logGeneration() const;

    /** @return Whether the log, when last read, lacked records that this node has or had others in their place. */
    [[nodiscard]] bool isLogBehind() const;

    /** @return Whether the key is withdrawn in the catalogue or by a pending tombstone. */
    [[nodiscard]] bool isKeyWithdrawn(const core::Digest &digest) const;

private:
    std::shared_ptr<detail::ServiceCore> m_core;
};

}
