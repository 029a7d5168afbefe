#pragma once

#include "berylspring/config/catalogue.h"
#include "berylspring/config/error.h"
#include "berylspring/config/write_outcome.h"
#include "berylspring/core/digest.h"
#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/core/types.h"
#include "berylspring/http/explanation.h"
#include "berylspring/http/server.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <tl/expected.hpp>

namespace berylspring::http {

/** @brief Status of one member, as shown to operators. */
struct NodeStatus
{
    core::HostId host;
    core::DataCentreId dataCentre;
    std::string state; ///< "alive", "suspect", "dead" or "left".
    core::Offset appliedOffset = 0; ///< Offset after the last one that the node has applied.
    std::string service; ///< Service of its endpoint; empty if it has none.
    bool isDraining = false;
    bool isEvacuated = false; ///< Nothing is sent to the endpoints of its data centre.
    [[nodiscard]] bool operator==(const NodeStatus &) const = default;
};

/** @brief One accepted change, as reported by a watch. */
struct ChangeRecord
{
    core::Offset change = 0;
    std::string kind; ///< "put" or "delete".
    std::string type;
    std::string name;
    [[nodiscard]] bool operator==(const ChangeRecord &) const = default;
};

/** @brief Accepted changes in a range of the log. */
struct ChangePage
{
    std::vector<ChangeRecord> changes;
    core::Offset next = 0; ///< First offset after the range.
    [[nodiscard]] bool operator==(const ChangePage &) const = default;
};

/** @brief Functions of the node that the operator interface calls. */
struct OperatorHooks
{
    core::Digest tokenDigest;
    std::function<std::shared_ptr<const config::Catalogue>()> catalogue;
    std::function<boost::asio::awaitable<config::Result<config::WriteOutcome>>(
        config::ResourceType, std::string name, std::string json, std::optional<core::Offset> expectedVersion)>
        put;
    std::function<boost::asio::awaitable<config::Result<config::WriteOutcome>>(
        config::ResourceType, std::string name, std::optional<core::Offset> expectedVersion)>
        remove;
    std::function<boost::asio::awaitable<ChangePage>(core::Offset from)> changes;
    std::function<std::vector<NodeStatus>()> nodes;
    std::function<bool(const core::DataCentreId &)> isDeclared; ///< Whether the data centre is one of the fleet.
    /** Queries the members that are not known to have applied the change; does not wait for them. */
    std::function<void(core::Offset change)> queryAppliedOffsets;
    /** Explains where this node would route a request now; sends nothing. */
    std::function<tl::expected<RequestExplanation, ExplainError>(const ExplainQuestion &)> explain;
    std::function<std::string()> metrics;
    std::function<bool()> isReady;
};

/** @brief Handles requests on the operator port. */
class OperatorApi
{
public:
    explicit OperatorApi(OperatorHooks hooks);

    [[nodiscard]] boost::asio::awaitable<Reply> handle(Request request);

private:
    [[nodiscard]] bool isAuthorized(const Request &request) const;
    [[nodiscard]] boost::asio::awaitable<Reply>
    handleResource(Request request, config::ResourceType type, std::string name);
    [[nodiscard]] boost::asio::awaitable<Reply> write(Request request, config::ResourceType type, std::string name);
    [[nodiscard]] Reply list(config::ResourceType type) const;
    [[nodiscard]] Reply read(config::ResourceType type, const std::string &name) const;
    [[nodiscard]] Reply changeStatus(core::Offset change) const;
    [[nodiscard]] Reply nodes() const;
    [[nodiscard]] Reply explain(const Request &request) const;
    [[nodiscard]] boost::asio::awaitable<void> watch(core::Offset from, ChunkWriter writer) const;

    OperatorHooks m_hooks;
};

/** @brief Counts the live nodes on which a change is in force. */
class ChangeProgress
{
public:
    /** @param nodes Status of all members; only live ones count. */
    ChangeProgress(core::Offset change, const std::vector<NodeStatus> &nodes);

    [[nodiscard]] bool isInForce() const noexcept
    {
        return m_live > 0 && m_holding == m_live;
    }
    /** @return `{change, in_force, live, holding, data_centres: {NAME: {live, holding}}}`. */
    [[nodiscard]] std::string toJson(std::string_view event) const;

private:
    struct Count
    {
        std::string dataCentre;
        std::uint64_t live = 0;
        std::uint64_t holding = 0;
    };
    Count &countOf(const std::string &dataCentre);

    core::Offset m_change;
    std::uint64_t m_live = 0;
    std::uint64_t m_holding = 0;
    std::vector<Count> m_dataCentres;
};

}
