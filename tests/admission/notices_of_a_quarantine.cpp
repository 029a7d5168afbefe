#include "berylspring/admission/notice_outbox.h"
#include "support/section.h"

#include <chrono>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using admission::DueNotice;
using admission::NoticeReceiver;
using test::section;

namespace {

const core::ServiceId Visits("visits");

NoticeReceiver receiver(const std::string &host, std::uint64_t incarnation = 1)
{
    return {core::HostId(host), incarnation};
}

std::vector<std::string> hostsOf(const std::vector<DueNotice> &notices)
{
    std::vector<std::string> hosts;
    for (const DueNotice &notice : notices) {
        hosts.push_back(notice.receiver.host.value());
    }
    return hosts;
}

}

using Hosts = std::vector<std::string>;

TEST_GROUP(NoticesOfAQuarantine)
{
    core::TimePoint now{1000h};
    core::Digest crasher = core::sha256("crasher");
    admission::NoticeOutbox outbox{1s};

    Hosts send(const std::vector<NoticeReceiver> &receivers)
    {
        return hostsOf(outbox.due(Visits, receivers, now));
    }
};

// Guards against a host that misses a notice while it is cut off, and runs the request when it is back.
TEST(NoticesOfAQuarantine, reachEachHostInTheEnd)
{
    const std::vector<NoticeReceiver> all{receiver("near"), receiver("cut-off")};
    outbox.add({crasher, Visits, now + 10min}, now);
    section("all hosts are told at once, and only once while their answers are due", [&] {
        CHECK((send(all) == Hosts{"near", "cut-off"}));
        CHECK(send(all).empty());
    });
    section("the one that did not acknowledge is told again", [&] {
        outbox.acknowledged(crasher, receiver("near"));
        now += 1s;
        CHECK(send(all) == Hosts{"cut-off"});
    });
    section("also long after it was taken for dead", [&] {
        now += 5min;
        CHECK(send({receiver("near")}).empty());
        const auto notices = outbox.due(Visits, all, now);
        CHECK(hostsOf(notices) == Hosts{"cut-off"});
        CHECK(notices.front().remaining == 10min - 5min - 1s);
        outbox.acknowledged(crasher, receiver("cut-off"));
        now += 1s;
        CHECK(send(all).empty());
    });
    section("a host that starts its endpoint later is told when it does", [&] {
        CHECK((send({receiver("near"), receiver("new")}) == Hosts{"new"}));
    });
}

// Guards against a restarted process that is taken for informed, since the earlier one had acknowledged.
TEST(NoticesOfAQuarantine, areSentToARestartedProcessAgain)
{
    outbox.add({crasher, Visits, now + 10min}, now);
    CHECK(send({receiver("h", 1)}) == Hosts{"h"});
    section("the answer of the earlier process counts for that one only", [&] {
        CHECK(send({receiver("h", 2)}) == Hosts{"h"});
        outbox.acknowledged(crasher, receiver("h", 1));
        now += 1s;
        CHECK(send({receiver("h", 2)}) == Hosts{"h"});
    });
    section("its own answer ends the notices", [&] {
        outbox.acknowledged(crasher, receiver("h", 2));
        now += 1s;
        CHECK(send({receiver("h", 2)}).empty());
    });
}

// Guards against notices about other services, after the end of a quarantine, and without a bound.
TEST(NoticesOfAQuarantine, endWithIt)
{
    outbox.add({crasher, Visits, now + 10min}, now);
    CHECK(outbox.due(core::ServiceId("other"), {receiver("h")}, now).empty());
    section("a longer quarantine is announced again", [&] {
        send({receiver("h")});
        outbox.acknowledged(crasher, receiver("h"));
        outbox.add({crasher, Visits, now + 5min}, now);
        CHECK(send({receiver("h")}).empty());
        outbox.add({crasher, Visits, now + 20min}, now);
        CHECK(send({receiver("h")}) == Hosts{"h"});
    });
    section("no notice is due when it has ended", [&] {
        now += 20min;
        CHECK(send({receiver("new")}).empty());
        CHECK(outbox.findings(now).empty());
    });
    section("the one that ends first gives way when there are too many", [&] {
        for (std::size_t i = 0; i <= admission::NoticeOutbox::MaxFindings; ++i) {
            outbox.add({core::sha256(std::to_string(i)), Visits, now + 1min + std::chrono::seconds(i)}, now);
        }
        const auto findings = outbox.findings(now);
        LONGS_EQUAL(admission::NoticeOutbox::MaxFindings, findings.size());
        CHECK(findings.front().requestDigest == core::sha256("1"));
    });
}
