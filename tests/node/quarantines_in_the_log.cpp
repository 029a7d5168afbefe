#include "node/memory_log.h"
#include "node/quarantine_exchange.h"
#include "node/quarantine_record.h"
#include "support/section.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using admission::QuarantineState;
using node::detail::QuarantineExchange;
using node::detail::QuarantineExchangeHooks;
using test::MemoryLog;
using test::section;

namespace {

namespace asio = boost::asio;

constexpr core::Duration QuarantineTime = 10min;

}

TEST_GROUP(QuarantinesInTheLog)
{
    /** @brief The quarantine of one process and its exchange with the log. */
    struct Process
    {
        std::shared_ptr<admission::Quarantine> quarantine =
            std::make_shared<admission::Quarantine>(QuarantineTime, 1min);
        std::unique_ptr<QuarantineExchange> exchange;
    };

    asio::io_context context;
    MemoryLog log;
    core::TimePoint now{1000h};
    core::WallTime wallTime{1'700'000'000s};
    core::Digest crasher = core::sha256("crasher");

    Process start(const std::string &host, bool isFirstStart = false)
    {
        QuarantineExchangeHooks hooks;
        hooks.log = log.hooks();
        hooks.send = [](core::HostId, wire::QuarantineNotice) -> asio::awaitable<bool> { co_return true; };
        hooks.receivers = [](const core::ServiceId &) { return std::vector<admission::NoticeReceiver>(); };
        hooks.logGeneration = [] { return std::uint64_t{0}; };
        hooks.now = [this] { return now; };
        hooks.wallTime = [this] { return wallTime; };
        hooks.isStopping = [] { return false; };
        Process process;
        process.exchange =
            std::make_unique<QuarantineExchange>(context.get_executor(),
                                                 node::detail::ProcessStart{core::HostId(host), isFirstStart},
                                                 process.quarantine,
                                                 std::move(hooks));
        asio::co_spawn(context, process.exchange->restore(), asio::detached);
        poll();
        return process;
    }
    void quarantine(Process & process, const core::Digest &digest)
    {
        process.quarantine->quarantine(digest, QuarantineTime, now);
        process.exchange->report(admission::CrashReport({.requestId = "r",
                                                         .requestDigest = digest,
                                                         .service = core::ServiceId("visits"),
                                                         .ranAlone = true,
                                                         .state = QuarantineState::Quarantined,
                                                         .remaining = QuarantineTime}),
                                 now);
        poll();
    }
    void advance(core::Duration duration)
    {
        now += duration;
        wallTime += std::chrono::duration_cast<core::WallTime::duration>(duration);
    }
    void poll()
    {
        context.restart();
        context.poll();
    }
};

// Guards against quarantines that end with the processes that know them.
TEST(QuarantinesInTheLog, outliveTheirProcesses)
{
    const core::Digest other = core::sha256("other");
    Process first = start("h1", true);
    quarantine(first, crasher);
    advance(9min);
    section("a process of another host learns of it when it starts", [&] {
        const Process second = start("h2");
        CHECK(second.quarantine->state(crasher, now) == QuarantineState::Quarantined);
        CHECK(second.quarantine->remaining(crasher, now) == QuarantineTime - 9min);
    });
    section("the next process of the host keeps it in its record", [&] {
        Process next = start("h1");
        quarantine(next, other);
        const Process third = start("h3");
        CHECK(third.quarantine->state(crasher, now) == QuarantineState::Quarantined);
        CHECK(third.quarantine->state(other, now) == QuarantineState::Quarantined);
        LONGS_EQUAL(2, node::detail::parseQuarantineRecord(log.records.back()).value()->quarantines.size());
    });
    section("it ends for all of them at the same time", [&] {
        advance(1min);
        const Process late = start("h4");
        CHECK(late.quarantine->state(crasher, now) == QuarantineState::Clear);
        CHECK(late.quarantine->state(other, now) == QuarantineState::Quarantined);
    });
}

// Guards against a quarantine that is not recorded, since the log was down when it was imposed.
TEST(QuarantinesInTheLog, areRecordedWhenTheLogIsBack)
{
    Process process = start("h1", true);
    log.isDown = true;
    quarantine(process, crasher);
    log.isDown = false;
    section("not before the retry interval", [&] {
        process.exchange->tick(now);
        poll();
        LONGS_EQUAL(0, log.records.size());
    });
    section("once after it", [&] {
        for (int i = 0; i < 3; ++i) {
            advance(5s);
            process.exchange->tick(now);
            poll();
        }
        LONGS_EQUAL(1, log.records.size());
    });
}

// Guards against one odd record that hides the others, or a clock that extends a quarantine beyond its duration.
TEST(QuarantinesInTheLog, areReadBesideOddOnes)
{
    const std::string digest = crasher.toHex();
    const auto record = [&](const std::string &until, const std::string &service = "\"visits\"") {
        return R"({"host":"h9","quarantines":[{"digest":")" + digest + R"(","service":)" + service + R"(,"until_ms":)"
               + until + "}]}";
    };
    log.records = {"",
                   "{",
                   "[]",
                   R"({"host":7,"quarantines":[]})",
                   R"({"host":"h9","quarantines":[7]})",
                   R"({"host":"h9","quarantines":[{"digest":"00","service":"visits","until_ms":1}]})",
                   record("-1"),
                   record("1e400"),
                   record("\"1\""),
                   record("9223372036854775807"),
                   record("1700000000001", "\"Odd Service\"")};
    CHECK(start("h1").quarantine->state(crasher, now) == QuarantineState::Clear);
    section("a proper one beside them counts, for the usual duration at the most", [&] {
        log.records.push_back(record("9000000000000"));
        const Process process = start("h1");
        CHECK(process.quarantine->remaining(crasher, now) == QuarantineTime);
    });
}
