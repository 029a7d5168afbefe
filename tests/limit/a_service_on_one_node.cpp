#include "berylspring/limit/limit_service.h"
#include "support/section.h"

#include <atomic>
#include <chrono>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::section;

namespace {

const core::HostId self("host-a");
const core::DataCentreId home("dc-a");

/** @brief A node without peers and with a manual clock. */
class SingleNode
{
public:
    SingleNode()
        : m_service(m_context.get_executor(), {self, home, {home}}, hooks())
    {
    }

    void advance(core::Duration duration)
    {
        m_now += duration;
    }
    /** @return How many of count requests that arrive together are admitted. */
    int admitted(int count, const char *workspace = "limited")
    {
        int result = 0;
        for (int i = 0; i < count; ++i) {
            boost::asio::co_spawn(m_context, admitOne(core::WorkspaceId(workspace), result), boost::asio::detached);
        }
        m_context.run();
        m_context.restart();
        return result;
    }
    [[nodiscard]] const limit::LimitService &service() const
    {
        return m_service;
    }
    [[nodiscard]] const std::optional<core::Refusal> &lastRefusal() const
    {
        return m_lastRefusal;
    }

private:
    limit::LimitHooks hooks()
    {
        limit::LimitHooks result;
        result.call =
            [](core::HostId, wire::Message, core::Duration) -> boost::asio::awaitable<wire::Result<wire::Message>> {
            co_return tl::make_unexpected(wire::Error(wire::ErrorCode::Unreachable, false));
        };
        result.liveHosts = [](const core::DataCentreId &) { return std::vector{self}; };
        result.limitOf = [](const core::WorkspaceId &workspace) {
            return workspace.value() == "limited" ? std::optional(limit::WorkspaceLimit(100, 10)) : std::nullopt;
        };
        result.now = [this] { return m_now; };
        result.lastPeerAck = [] { return core::TimePoint(); };
        result.resumeCount = [] { return std::uint64_t(0); };
        result.random = [] { return std::uint64_t(0); };
        return result;
    }
    boost::asio::awaitable<void> admitOne(core::WorkspaceId workspace, int &result)
    {
        const auto admission = co_await m_service.admit(std::move(workspace), 0ms);
        if (admission) {
            ++result;
        } else {
            m_lastRefusal = admission.error();
        }
    }

    core::TimePoint m_now{1000s};
    boost::asio::io_context m_context;
    std::optional<core::Refusal> m_lastRefusal;
    limit::LimitService m_service;
};

}

TEST_GROUP(AServiceOnOneNode){};

// Guards against admitting more than the burst, and against a new process granting what an earlier one may have
// granted.
TEST(AServiceOnOneNode, admitsTheBurstAndThenTheRate)
{
    SingleNode node;
    section("grants of an earlier process may still be in use, so nothing is admitted", [&] {
        LONGS_EQUAL(0, node.admitted(1));
        CHECK(node.lastRefusal()->reason() == core::RefusalReason::LimitExceeded);
        CHECK(node.lastRefusal()->outcome() == core::Outcome::NotRun);
        CHECK(node.lastRefusal()->retryAfter().has_value());
    });
    section("a workspace without a limit is admitted at once", [&] { LONGS_EQUAL(50, node.admitted(50, "free")); });
    section("once the bucket is full, a burst passes and the rest is refused", [&] {
        // The admissions of this step renew the lease, as the timer of the service would.
        node.advance(1200ms);
        LONGS_EQUAL(10, node.admitted(15));
        LONGS_EQUAL(0, node.admitted(15));
    });
    section("a second later the burst is available again, and no more", [&] {
        node.advance(1s);
        LONGS_EQUAL(10, node.admitted(15));
    });
    section("requests are counted once each", [&] {
        const auto counters = node.service().counters();
        LONGS_EQUAL(70, counters.admitted);
        LONGS_EQUAL(26, counters.refused);
    });
}
