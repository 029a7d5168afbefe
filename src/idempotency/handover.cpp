#include "idempotency/handover.h"

#include "berylspring/core/rendezvous.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace berylspring::idempotency::detail {

namespace asio = boost::asio;

namespace {

/** Far below the frame limit of 4 MiB. A single record with a large response may exceed it. */
constexpr std::size_t BatchBytes = 1U << 20U;
constexpr std::size_t RecordBytes = 256; ///< Estimated size of a record without name and response.
constexpr std::uint32_t HandoverAttempts = 5;
constexpr core::Duration HandoverTimeout = std::chrono::seconds(2);
constexpr core::Duration DrainCheck = std::chrono::milliseconds(10);

using Batch = std::vector<wire::ClaimRecord>;

std::size_t bytesOf(const wire::ClaimRecord &record)
{
    return RecordBytes + record->name.size() + (record->response ? (*record->response)->body.size() : 0);
}

/** @brief Removes a batch from the end of the records. */
Batch takeBatch(std::vector<wire::ClaimRecord> &records)
{
    Batch batch;
    std::size_t bytes = 0;
    while (!records.empty() && (batch.empty() || bytes + bytesOf(records.back()) <= BatchBytes)) {
        bytes += bytesOf(records.back());
        batch.push_back(std::move(records.back()));
        records.pop_back();
    }
    return batch;
}

/** @return The next home and standby of the name without this host. */
std::vector<core::HostId> successors(const StatePtr &state, const std::string &name)
{
    auto live = state->hooks.liveHosts(state->selection.dataCentreOf(name));
    live.erase(std::remove(live.begin(), live.end(), state->settings.self), live.end());
    auto order = core::rendezvousOrder(name, std::move(live));
    order.resize(std::min(order.size(), HomeOrder::Holders));
    return order;
}

asio::awaitable<bool> sendBatch(StatePtr state, core::HostId host, Batch batch)
{
    wire::ClaimHandover handover{wire::ClaimHandoverFields{std::move(batch)}};
    const auto reply = co_await state->hooks.call(host, wire::Message(std::move(handover)), HandoverTimeout);
    co_return reply &&std::holds_alternative<wire::Ack>(*reply);
}

/** @return Names of the records that the host did not acknowledge. */
asio::awaitable<std::set<std::string>>
sendAll(StatePtr state, core::HostId host, std::vector<wire::ClaimRecord> records)
{
    std::set<std::string> missing;
    while (!records.empty()) {
        Batch batch = takeBatch(records);
        std::set<std::string> names;
        for (const wire::ClaimRecord &record : batch) {
            names.insert(record->name);
        }
        auto sending = sendBatch(state, host, std::move(batch));
        if (!co_await std::move(sending)) {
            missing.merge(names);
        }
    }
    co_return missing;
}

/** @return The records that not all of their successors acknowledged. */
asio::awaitable<std::vector<wire::ClaimRecord>> handOverOnce(StatePtr state, std::vector<wire::ClaimRecord> records)
{
    std::set<std::string> missing;
    std::map<core::HostId, std::vector<wire::ClaimRecord>> byHost;
    for (const wire::ClaimRecord &record : records) {
        const auto hosts = successors(state, record->name);
        for (const core::HostId &host : hosts) {
            byHost[host].push_back(record);
        }
        if (hosts.empty()) {
            missing.insert(record->name);
        }
    }
    for (auto &[host, hostRecords] : byHost) {
        auto sending = sendAll(state, host, std::move(hostRecords));
        auto notTaken = co_await std::move(sending);
        missing.merge(notTaken);
    }
    std::erase_if(records, [&](const wire::ClaimRecord &record) { return !missing.contains(record->name); });
    co_return records;
}

asio::awaitable<void> drain(StatePtr state)
{
    state->isStopping = true;
    while (state->executions.size() > 0 || state->publishing.load() > 0) {
        co_await sleepFor(state->hooks.sleep, DrainCheck);
    }
}

}

asio::awaitable<bool> handOverAll(StatePtr state)
{
    auto draining = drain(state);
    co_await std::move(draining);
    state->isHandingOver = true;
    auto records = state->table.records(state->hooks.now());
    const std::size_t total = records.size();
    for (std::uint32_t attempt = 0; attempt < HandoverAttempts && !records.empty(); ++attempt) {
        if (attempt > 0) {
            const auto pause = RetryBackoff.pause(attempt, HandoverTimeout, state->hooks.random());
            co_await sleepFor(state->hooks.sleep, pause.value_or(DrainCheck));
        }
        auto sending = handOverOnce(state, std::move(records));
        records = co_await std::move(sending);
    }
    state->counts.recordsHandedOver.fetch_add(total - records.size());
    state->counts.recordsNotHandedOver.fetch_add(records.size());
    co_return records.empty();
}

}
