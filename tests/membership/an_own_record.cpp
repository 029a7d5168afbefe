#include "berylspring/membership/self_record.h"
#include "support/section.h"

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using test::section;

TEST_GROUP(AnOwnRecord){};

// Guards against a node that tells the others an offset below its own until the next change, since two threads that
// apply records may report them in the other order.
TEST(AnOwnRecord, hasTheHighestAppliedOffset)
{
    membership::SelfRecord self({.host = core::HostId("h"), .dataCentre = core::DataCentreId("a")});
    self.setAppliedOffset(13);
    const std::uint64_t version = self.record()->version;
    section("a late report of a lower one changes nothing", [&] {
        self.setAppliedOffset(11);
        LONGS_EQUAL(13, self.record()->appliedOffset);
        LONGS_EQUAL(version, self.record()->version);
    });
    section("a higher one is told", [&] {
        self.setAppliedOffset(15);
        LONGS_EQUAL(15, self.record()->appliedOffset);
        CHECK_TRUE(self.record()->version > version);
    });
}
