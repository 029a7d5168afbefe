#include "node/log_reader.h"

namespace berylspring::node::detail {

namespace {

constexpr std::uint32_t PageRecords = 500;

}

boost::asio::awaitable<bool> readToEnd(eventlog::LogHooks log,
                                       std::string stream,
                                       StreamPosition &position,
                                       std::function<void(const eventlog::LogEntry &)> onRecord)
{
    while (true) {
        const auto page = co_await log.read(stream, position.from, PageRecords, core::Duration::zero());
        if (!page && page.error().code() == eventlog::ErrorCode::Expired && page.error().first() > position.from) {
            position.from = *page.error().first();
            continue;
        }
        if (!page) {
            co_return false;
        }
        if ((*page)->generation != position.generation) {
            const bool isFromStart = position.from == 0;
            position = {.generation = (*page)->generation};
            if (!isFromStart) {
                continue;
            }
        }
        for (const eventlog::LogEntry &record : (*page)->records) {
            onRecord(record);
        }
        // A page before the end may hold no record, if none in its range can be read.
        const bool reachesEnd = (*page)->reachesEnd.value_or((*page)->records.empty());
        const bool hasAdvanced = (*page)->next > position.from;
        position.from = (*page)->next;
        if (reachesEnd || !hasAdvanced) {
            co_return reachesEnd;
        }
    }
}

}
