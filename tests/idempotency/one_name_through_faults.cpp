#include "idempotency/model.h"
#include "support/section.h"

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using berylspring::test::checkProperty;
using idempotency::test::Faults;
using idempotency::test::Model;

namespace {

std::string violationOf(std::uint64_t seed, const Faults &faults)
{
    Model model(seed, faults);
    model.run();
    return model.violation();
}

}

TEST_GROUP(OneNameThroughFaults){};

TEST(OneNameThroughFaults, isAnsweredWhenNothingFails)
{
    Faults none;
    none.hasRefusals = false;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        Model model(seed, none);
        model.run();
        STRCMP_EQUAL("", model.violation().c_str());
        LONGS_EQUAL(Model::NameCount, model.answeredNames());
        LONGS_EQUAL(0, model.notRunVerdicts());
    }
}

TEST(OneNameThroughFaults, runsAtMostOnce)
{
    checkProperty("no name runs twice, no not-run is false, no two answers differ", [](std::uint64_t seed) {
        Faults faults;
        faults.hasLoss = *rc::gen::arbitrary<bool>();
        faults.hasDelay = *rc::gen::arbitrary<bool>();
        faults.hasKills = *rc::gen::arbitrary<bool>();
        faults.hasPauses = *rc::gen::arbitrary<bool>();
        faults.hasViews = *rc::gen::arbitrary<bool>();
        faults.hasStops = *rc::gen::arbitrary<bool>();
        faults.hasJoins = *rc::gen::arbitrary<bool>();
        faults.hasPartition = *rc::gen::arbitrary<bool>();
        faults.isFresh = *rc::gen::arbitrary<bool>();
        RC_ASSERT(violationOf(seed, faults) == "");
    });
}
