#include "berylspring/membership/membership_service.h"
#include "support/section.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <atomic>
#include <condition_variable>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using test::section;
namespace asio = boost::asio;

namespace {

/** Replaces the codec: stores the datagrams and sends their indices. */
class DatagramStore
{
public:
    wire::Result<std::string> seal(const wire::Datagram &datagram)
    {
        const std::scoped_lock lock(m_mutex);
        m_datagrams.push_back(datagram);
        return std::to_string(m_datagrams.size() - 1);
    }
    wire::Result<std::pair<core::HostId, wire::Datagram>> open(std::string_view bytes)
    {
        const std::scoped_lock lock(m_mutex);
        const auto &datagram = m_datagrams.at(std::stoul(std::string(bytes)));
        const auto host = std::visit([](const auto &message) { return message->sender->host; }, datagram);
        return std::pair(host, datagram);
    }

private:
    std::mutex m_mutex;
    std::vector<wire::Datagram> m_datagrams;
};

/** Collects the reports of hooks and lets the test wait for them without a timeout. */
class Reports
{
public:
    void add(const membership::Member &member)
    {
        const std::scoped_lock lock(m_mutex);
        m_members.insert_or_assign(member.host(), member);
        m_condition.notify_all();
    }
    void add(const core::HostId &host, core::Offset offset)
    {
        const std::scoped_lock lock(m_mutex);
        m_offsets.insert_or_assign(host, offset);
        m_condition.notify_all();
    }
    void waitForState(const std::string &host, wire::MemberState state)
    {
        wait([&] {
            const auto found = m_members.find(core::HostId(host));
            return found != m_members.end() && found->second.state() == state;
        });
    }
    void waitForDraining(const std::string &host)
    {
        wait([&] {
            const auto found = m_members.find(core::HostId(host));
            return found != m_members.end() && found->second.endpoint() && (*found->second.endpoint())->isDraining;
        });
    }
    void waitForOffset(const std::string &host, core::Offset offset)
    {
        wait([&] {
            const auto found = m_offsets.find(core::HostId(host));
            return found != m_offsets.end() && found->second == offset;
        });
    }

private:
    template<typename Condition>
    void wait(Condition condition)
    {
        std::unique_lock lock(m_mutex);
        m_condition.wait(lock, condition);
    }

    std::mutex m_mutex;
    std::condition_variable m_condition;
    std::map<core::HostId, membership::Member> m_members;
    std::map<core::HostId, core::Offset> m_offsets;
};

membership::MembershipSettings settingsOf(const std::string &host, std::optional<std::uint16_t> seedPort)
{
    membership::MembershipSettings settings;
    settings.host = core::HostId(host);
    settings.dataCentre = core::DataCentreId("a");
    settings.address = "127.0.0.1";
    if (seedPort) {
        settings.seeds.push_back({"127.0.0.1", *seedPort});
    }
    return settings;
}

wire::EndpointState endpointOf(bool isDraining)
{
    wire::EndpointStateFields fields;
    fields.service = core::ServiceId("bookings");
    fields.slots = 10;
    fields.isDraining = isDraining;
    return wire::EndpointState(fields);
}

}

TEST_GROUP(TwoServicesOnLoopback)
{
    DatagramStore store;
    Reports reports;
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work{context.get_executor()};
    std::vector<std::jthread> threads;

    membership::MembershipHooks hooks(bool isReporting)
    {
        membership::MembershipHooks hooks;
        hooks.seal = [this](const wire::Datagram &datagram) { return store.seal(datagram); };
        hooks.open = [this](std::string_view bytes) { return store.open(bytes); };
        if (isReporting) {
            hooks.changed = [this](const membership::Member &member) { reports.add(member); };
            hooks.offsetReported = [this](const core::HostId &host, core::Offset offset) { reports.add(host, offset); };
        }
        return hooks;
    }
    void runThreads()
    {
        for (int i = 0; i < 2; ++i) {
            threads.emplace_back([this] { context.run(); });
        }
    }
    void teardown() override
    {
        work.reset();
        context.stop();
        threads.clear();
    }
};

TEST(TwoServicesOnLoopback, findEachOtherReportChangesAndLeave)
{
    // Guards against actions of the protocol that are lost between the threads, the socket and the hooks.
    membership::MembershipService first(context.get_executor(), settingsOf("first", {}), hooks(true));
    const auto port = first.start();
    CHECK(port.has_value());
    membership::MembershipService second(context.get_executor(), settingsOf("second", *port), hooks(false));
    CHECK(second.start().has_value());
    runThreads();

    section("they discover each other through the seed", [&] {
        reports.waitForState("second", wire::MemberState::Alive);
        CHECK(first.find(core::HostId("second")).has_value());
        CHECK(first.self().port() == *port);
    });
    section("a drain and an applied offset arrive", [&] {
        second.setEndpoint(endpointOf(false));
        second.setEndpoint(endpointOf(true));
        reports.waitForDraining("second");
        second.setAppliedOffset(17);
        second.sendOffsetNotice();
        reports.waitForOffset("second", 17);
        LONGS_EQUAL(17, first.find(core::HostId("second"))->appliedOffset());
    });
    section("a graceful leave is announced", [&] {
        asio::co_spawn(context, second.leave(), asio::use_future).get();
        reports.waitForState("second", wire::MemberState::Left);
        CHECK(first.find(core::HostId("second"))->state() == wire::MemberState::Left);
    });
}

TEST(TwoServicesOnLoopback, reportWhyTheyCannotStart)
{
    section("an address that is no IP number", [&] {
        auto settings = settingsOf("first", {});
        settings.address = "not-a-number";
        membership::MembershipService service(context.get_executor(), settings, hooks(false));
        CHECK(service.start().error().code() == membership::ErrorCode::AddressInvalid);
    });
    section("a port that is taken, and a second start", [&] {
        membership::MembershipService first(context.get_executor(), settingsOf("first", {}), hooks(false));
        auto settings = settingsOf("second", {});
        settings.port = first.start().value();
        CHECK(first.start().error().code() == membership::ErrorCode::AlreadyStarted);
        membership::MembershipService second(context.get_executor(), settings, hooks(false));
        CHECK(second.start().error().code() == membership::ErrorCode::BindFailed);
    });
}
