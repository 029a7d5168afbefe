#include "berylspring/admission/admission_queue.h"
#include "berylspring/admission/endpoint_gate.h"
#include "support/section.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using admission::AdmissionQueue;
using admission::QueueEntry;
using admission::QueueEntryFields;
using test::checkProperty;
using test::section;

namespace {

const core::TimePoint startTime{1000h};

QueueEntry entry(std::uint64_t id, core::PriorityLevel priority, const std::string &workspace = "garden")
{
    QueueEntryFields fields;
    fields.id = id;
    fields.priority = priority;
    fields.workspace = core::WorkspaceId(workspace);
    fields.arrivedAt = startTime;
    fields.deadline = startTime + 1h;
    return QueueEntry(std::move(fields));
}

std::vector<std::uint64_t> takeAll(AdmissionQueue &queue)
{
    std::vector<std::uint64_t> ids;
    while (const auto next = queue.take(startTime, 0ns).next) {
        ids.push_back((*next)->id);
    }
    return ids;
}

}

TEST_GROUP(TheQueueKeepsItsOrder){};

// Guards against starting a less important or less urgent request first.
TEST(TheQueueKeepsItsOrder, byPriorityNestingAndDeadline)
{
    AdmissionQueue queue;
    queue.offer(entry(1, 2), 10);
    queue.offer(entry(2, 5), 10);
    queue.offer(entry(3, 2).with(&QueueEntryFields::isNested, true), 10);
    queue.offer(entry(4, 2).with(&QueueEntryFields::deadline, startTime + 1s), 10);
    CHECK((takeAll(queue) == std::vector<std::uint64_t>{2, 3, 4, 1}));
}

// Guards against new requests of a deep service that starve behind nested calls, and the reverse.
TEST(TheQueueKeepsItsOrder, withNestedAndNewEntriesInTurn)
{
    AdmissionQueue queue;
    for (std::uint64_t id = 1; id <= 4; ++id) {
        CHECK(queue.offer(entry(id, 2).with(&QueueEntryFields::isNested, true), 4).isAccepted);
    }
    section("nested entries take no room from new ones", [&] {
        CHECK(queue.offer(entry(5, 2), 2).isAccepted);
        CHECK(queue.offer(entry(6, 2), 2).isAccepted);
        CHECK_FALSE(queue.offer(entry(7, 2), 2).isAccepted);
    });
    section("starts alternate between both kinds while both wait", [&] {
        CHECK((takeAll(queue) == std::vector<std::uint64_t>{1, 5, 2, 6, 3, 4}));
    });
}

// Guards against spending a slot on a request that cannot finish before its deadline.
TEST(TheQueueKeepsItsOrder, dropsWhatCannotFinishInTime)
{
    AdmissionQueue queue;
    queue.offer(entry(1, 2).with(&QueueEntryFields::deadline, startTime + 20ms), 10);
    queue.offer(entry(2, 1), 10);
    const auto taken = queue.take(startTime, 20ms);
    CHECK(taken.tooLate == std::vector<std::uint64_t>{1});
    LONGS_EQUAL(2, (*taken.next)->id);
}

// G2; also guards against a workspace that floods the queue and keeps the others out.
TEST(TheQueueKeepsItsOrder, displacesTheLowestAndThenTheLargestBacklog)
{
    AdmissionQueue queue;
    for (std::uint64_t id = 1; id <= 3; ++id) {
        queue.offer(entry(id, 1, "flood"), 4);
    }
    queue.offer(entry(4, 0, "low"), 4);
    section("an arrival of lower priority is refused", [&] {
        AdmissionQueue high;
        high.offer(entry(1, 3), 1);
        CHECK_FALSE(high.offer(entry(2, 2), 1).isAccepted);
    });
    section("the lowest priority is evicted first",
            [&] { CHECK(queue.offer(entry(5, 1, "flood"), 4).displaced == 4U); });
    section("then the workspace with the largest backlog", [&] {
        CHECK(queue.offer(entry(6, 1, "small"), 4).displaced.has_value());
        CHECK_FALSE(queue.offer(entry(7, 1, "flood"), 4).isAccepted);
        const auto ids = takeAll(queue);
        CHECK(std::find(ids.begin(), ids.end(), 6U) != ids.end());
        LONGS_EQUAL(4, ids.size());
    });
}

// Guards against a workspace that gets more or less than its weighted share while all have a backlog.
TEST(TheQueueKeepsItsOrder, servesWorkspacesByWeight)
{
    checkProperty("each backlogged workspace gets its share within 5% over 1000 dispatches",
                  [](const std::vector<std::uint8_t> &raw) {
                      constexpr int Dispatches = 1000;
                      constexpr std::size_t MostWorkspaces = 8;
                      RC_PRE(!raw.empty());
                      std::vector<double> weights;
                      double total = 0;
                      for (std::size_t i = 0; i < std::min(raw.size(), MostWorkspaces); ++i) {
                          weights.push_back(1 + raw[i] % 5);
                          total += weights.back();
                      }
                      AdmissionQueue queue;
                      std::uint64_t id = 0;
                      const auto refill = [&](std::size_t workspace) {
                          const auto name = "w" + std::to_string(workspace);
                          queue.offer(entry(++id, 1, name).with(&QueueEntryFields::weight, weights[workspace]), 100);
                      };
                      for (std::size_t i = 0; i < weights.size(); ++i) {
                          refill(i);
                          refill(i);
                      }
                      std::vector<int> served(weights.size());
                      for (int i = 0; i < Dispatches; ++i) {
                          const auto next = queue.take(startTime, 0ns).next;
                          const auto workspace = std::stoul((*next)->workspace.value().substr(1));
                          ++served[workspace];
                          refill(workspace);
                      }
                      for (std::size_t i = 0; i < weights.size(); ++i) {
                          const double share = weights[i] / total * Dispatches;
                          RC_ASSERT(std::abs(served[i] - share) <= 0.05 * share);
                      }
                  });
}

// Guards against a workspace that monopolizes the endpoint after it had no backlog for a time.
TEST(TheQueueKeepsItsOrder, givesNoCreditForAnIdleTime)
{
    AdmissionQueue queue;
    std::uint64_t id = 0;
    for (int i = 0; i < 100; ++i) {
        queue.offer(entry(++id, 1, "early"), 1000);
    }
    for (int i = 0; i < 50; ++i) {
        CHECK(queue.take(startTime, 0ns).next.has_value());
    }
    for (int i = 0; i < 100; ++i) {
        queue.offer(entry(++id, 1, "late"), 1000);
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 40; ++i) {
        ++served[(*queue.take(startTime, 0ns).next)->workspace.value()];
    }
    CHECK(std::abs(served["early"] - served["late"]) <= 1);
}

// Guards against priority inversion and against running more requests than the limit allows.
TEST(TheQueueKeepsItsOrder, neverStartsLowerWorkBeforeHigherOrMoreThanTheLimit)
{
    checkProperty("of the same moment, no refused or waiting request is above a started one",
                  [](const std::vector<core::PriorityLevel> &priorities) {
                      constexpr std::uint32_t Slots = 3;
                      constexpr std::size_t QueueLength = 5;
                      admission::AdmissionSettings settings;
                      settings.maxQueueLength = QueueLength;
                      admission::EndpointGate gate(settings, startTime);
                      RC_ASSERT(gate.setSlots(Slots, startTime).empty());
                      for (std::uint64_t id = 1; id <= Slots; ++id) {
                          RC_ASSERT(gate.arrive(entry(id, 0), false, startTime).decision.isStart());
                      }
                      std::map<std::uint64_t, core::PriorityLevel> waiting;
                      core::PriorityLevel highestRefused = 0;
                      std::uint64_t id = Slots;
                      for (const auto raw : priorities) {
                          const auto priority = static_cast<core::PriorityLevel>(raw % 8);
                          const auto result = gate.arrive(entry(++id, priority), false, startTime);
                          waiting[id] = priority;
                          auto refused = result.decided;
                          if (result.decision.kind == admission::AdmissionDecision::Kind::Refuse) {
                              refused.push_back(id);
                          }
                          for (const auto gone : refused) {
                              highestRefused = std::max(highestRefused, waiting.at(gone));
                              waiting.erase(gone);
                              if (gone != id) {
                                  RC_ASSERT(!gate.leave(gone, startTime).decision.isStart());
                              }
                          }
                      }
                      RC_ASSERT(waiting.size() == std::min(priorities.size(), QueueLength));
                      auto lowestStarted = core::MaxPriority;
                      while (!waiting.empty()) {
                          const auto started = gate.finish({}, startTime);
                          RC_ASSERT(started.size() == 1U);
                          RC_ASSERT(gate.leave(started.front(), startTime).decision.isStart());
                          RC_ASSERT(gate.state(startTime).running == Slots);
                          RC_ASSERT(waiting.at(started.front()) <= lowestStarted);
                          RC_ASSERT(waiting.at(started.front()) >= highestRefused);
                          lowestStarted = waiting.at(started.front());
                          waiting.erase(started.front());
                      }
                  });
}
