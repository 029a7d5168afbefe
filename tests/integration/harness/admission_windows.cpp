#include "integration/harness/admission_windows.h"

#include <algorithm>

namespace berylspring::test {

namespace {

struct AnsweredCall
{
    core::Duration due{};
    core::Duration answer{};
};

std::vector<AnsweredCall> answeredByTime(const std::vector<LoadReport> &reports)
{
    std::vector<AnsweredCall> calls;
    for (const LoadReport &report : reports) {
        for (const LoadSample &sample : report.samples()) {
            if (sample.attempts > 0 && sample.outcome == core::Outcome::Answered) {
                calls.push_back({sample.due, sample.due + sample.latency});
            }
        }
    }
    std::sort(calls.begin(), calls.end(), [](const AnsweredCall &one, const AnsweredCall &other) {
        return one.answer < other.answer;
    });
    return calls;
}

}

WorstWindow worstWindow(const std::vector<LoadReport> &reports, double rate)
{
    const std::vector<AnsweredCall> calls = answeredByTime(reports);
    WorstWindow worst;
    for (const AnsweredCall &first : calls) {
        double count = 0;
        for (const AnsweredCall &last : calls) {
            if (last.due < first.due) {
                continue;
            }
            ++count;
            const double length = std::chrono::duration<double>(last.answer - first.due).count();
            if (count - rate * length > worst.excess) {
                worst = {count - rate * length, first.due, last.answer};
            }
        }
    }
    return worst;
}

}
