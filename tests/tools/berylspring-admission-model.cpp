// Compares the concurrency limit rules in the deterministic endpoint model and prints a table.
#include "../admission/endpoint_model.h"

#include <array>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

using namespace berylspring;

namespace {

struct Scenario
{
    std::string name;
    test::ModelSettings settings;
};

struct Rule
{
    std::string name;
    admission::LimitRule rule = admission::LimitRule::Fixed;
    bool areControlsOn = true;
};

std::vector<Scenario> scenarios()
{
    test::ModelSettings accurate;
    test::ModelSettings fewSlots;
    fewSlots.announcedSlots = 15;
    fewSlots.capacity = 15;
    fewSlots.serviceTime = 0.050;
    test::ModelSettings slow;
    slow.slowFrom = 10;
    slow.slowTo = 20;
    slow.slowFactor = 10;
    test::ModelSettings stalled = slow;
    stalled.slowFactor = 200;
    test::ModelSettings overstated;
    overstated.announcedSlots = 80;
    overstated.capacity = 20;
    overstated.contention = 0.5;
    test::ModelSettings refusing;
    refusing.capacity = 20;
    refusing.refusesAbove = 20;
    return {{"honest slots", accurate},
            {"15 slots of 50 ms", fewSlots},
            {"10x slow for 10 s", slow},
            {"200x slow for 10 s", stalled},
            {"80 announced, 20 real, contention", overstated},
            {"40 announced, 503 above 20", refusing}};
}

struct PhaseResults
{
    double before = 0;
    double during = 0;
    double after = 0;
    double recovery = 0;
    std::uint32_t limit = 0;
};

PhaseResults measure(const test::ModelSettings &settings)
{
    test::EndpointModel model(settings);
    model.run();
    return PhaseResults{model.goodput(3, 10),
                        model.goodput(12, 20) * settings.slowFactor,
                        model.goodput(22, 30),
                        model.recoveryTime(20, 0.95),
                        model.limit()};
}

}

int main()
{
    const std::array<Rule, 5> rules{Rule{"elasticity", admission::LimitRule::Elasticity},
                                    Rule{"gradient", admission::LimitRule::Gradient},
                                    Rule{"aimd", admission::LimitRule::Aimd},
                                    Rule{"fixed", admission::LimitRule::Fixed},
                                    Rule{"controls off", admission::LimitRule::Fixed, false}};
    constexpr std::uint64_t Seeds = 3;
    std::cout << "Goodput at 3x load relative to the capacity in that phase: 3-10 s, 12-20 s, 22-30 s; worst recovery "
                 "after 20 s to 95%; last limit. Mean of "
              << Seeds << " seeds.\n";
    for (auto scenario : scenarios()) {
        std::cout << scenario.name << '\n';
        for (const Rule &rule : rules) {
            PhaseResults mean;
            scenario.settings.rule = rule.rule;
            scenario.settings.areControlsOn = rule.areControlsOn;
            for (scenario.settings.seed = 1; scenario.settings.seed <= Seeds; ++scenario.settings.seed) {
                const PhaseResults results = measure(scenario.settings);
                mean.before += results.before / Seeds;
                mean.during += results.during / Seeds;
                mean.after += results.after / Seeds;
                mean.recovery = std::max(mean.recovery, results.recovery);
                mean.limit = results.limit;
            }
            std::cout << std::fixed << std::setprecision(3) << "  " << std::setw(13) << std::left << rule.name
                      << std::right << std::setw(7) << mean.before << std::setw(7) << mean.during << std::setw(7)
                      << mean.after << std::setprecision(1) << std::setw(7) << mean.recovery << " s" << std::setw(6)
                      << mean.limit << std::endl;
        }
    }
    return 0;
}
