#include "berylspring/membership/contact_book.h"
#include "berylspring/membership/timing.h"
#include "support/section.h"

#include <chrono>
#include <map>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using membership::ContactBook;
using membership::PeerAddress;
using test::section;

namespace {

const core::DataCentreId Near("near");
const core::DataCentreId Nowhere("nowhere");
const PeerAddress Own{"10.1.0.1", 7000};
const PeerAddress Seed{"10.1.0.2", 7000};

wire::MemberUpdate record(const std::string &host, const core::DataCentreId &dataCentre, const std::string &address)
{
    return wire::MemberUpdate({.host = core::HostId(host), .dataCentre = dataCentre, .address = address, .port = 7000});
}

}

TEST_GROUP(ContactsOfOtherWriters)
{
    ContactBook book{Own, {Seed}};
    core::TimePoint now{1h};
    std::uint64_t turn = 0; ///< In place of random bits.

    /** The number of tries of each address in a time in which only the data centre Near has live members. */
    std::map<std::string, int> triesIn(core::Duration time)
    {
        std::map<std::string, int> tries;
        for (const core::TimePoint end = now + time; now < end; now += membership::TickInterval) {
            const auto contact = book.takeDue(
                now, [](const core::DataCentreId &dataCentre) { return dataCentre == Near; }, false, ++turn);
            if (contact) {
                ++tries[contact->address.address];
            }
        }
        return tries;
    }
};

// Guards against an entry with a data centre that does not exist, after which no other contact is tried for 24 h.
TEST(ContactsOfOtherWriters, doNotHoldUpTheOthers)
{
    book.add(record("lost", Near, "10.1.0.3"), now);
    section("a contact in a reachable data centre is tried beside the seed", [&] {
        const auto tries = triesIn(60s);
        CHECK(tries.contains("10.1.0.3"));
    });
    book.add(record("odd", Nowhere, "10.1.0.4"), now);
    section("one in a data centre without live members is tried more often, and the other one still", [&] {
        const auto tries = triesIn(60s);
        CHECK(tries.contains("10.1.0.4") && tries.at("10.1.0.4") >= 40);
        CHECK(tries.contains("10.1.0.3"));
    });
}

// Guards against entries that use up the memory or take the place of the seeds.
TEST(ContactsOfOtherWriters, areLimitedInNumberAndReplaceNoSeed)
{
    for (int i = 0; i < 6000; ++i) {
        const std::string address = "10.2." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1);
        book.add(record("odd", Near, address), now + std::chrono::nanoseconds(i));
    }
    LONGS_EQUAL(membership::MaxContacts, book.size());
    CHECK(triesIn(2s).contains(Seed.address));
    section("the own address is no contact", [&] {
        ContactBook empty{Own, {}};
        empty.add(record("odd", Near, Own.address), now);
        LONGS_EQUAL(0, empty.size());
    });
}
