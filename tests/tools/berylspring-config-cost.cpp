// Measures the time and memory of a configuration catalogue with 10 to 10,000 resources: building it from log records,
// applying changes, looking up keys and routes, and writing and parsing its JSON snapshot.

#include "berylspring/config/catalogue.h"
#include "berylspring/config/log_record.h"

#include <chrono>
#include <cstdio>
#include <malloc.h>
#include <string>
#include <vector>

using namespace berylspring;
using Clock = std::chrono::steady_clock;

namespace {

constexpr int MeasuredChanges = 2000;
constexpr int MeasuredLookups = 200'000;

std::string
putRecord(const std::string &operation, config::ResourceType type, const std::string &name, std::string body)
{
    return config::toJson(
        config::LogRecord({operation, config::RecordKind::Put, type, name, std::nullopt, std::move(body)}));
}

std::string keyRecord(int number, int version)
{
    const std::string name = "key-" + std::to_string(number);
    const std::string digest = core::sha256(name).toHex();
    return putRecord("op-" + std::to_string(version) + "-" + std::to_string(number),
                     config::ResourceType::Key,
                     name,
                     R"({"workspace":"abay","digest":")" + digest + "\"}");
}

std::string routeRecord(int number, int version)
{
    const std::string name = "route-" + std::to_string(number);
    return putRecord("op-" + std::to_string(version) + "-r" + std::to_string(number),
                     config::ResourceType::Route,
                     name,
                     R"({"service":"visits","priority":"high","prefix":"/visits/)" + name + "\"}");
}

std::string resourceRecord(int number, int version)
{
    return number % 2 == 0 ? keyRecord(number, version) : routeRecord(number, version);
}

double microseconds(Clock::duration duration, int count)
{
    return std::chrono::duration<double, std::micro>(duration).count() / count;
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

config::Catalogue withRecords(config::Catalogue catalogue, const std::vector<std::string> &records)
{
    for (const std::string &data : records) {
        catalogue = catalogue.withRecord(catalogue.appliedOffset(), data).catalogue;
    }
    return catalogue;
}

void measure(int resourceCount)
{
    std::vector<std::string> records{"start",
                                     putRecord("w", config::ResourceType::Workspace, "abay", "{}"),
                                     putRecord("p", config::ResourceType::Priority, "high", R"({"level":6})")};
    for (int i = 2; i < resourceCount; ++i) {
        records.push_back(resourceRecord(i, 0));
    }
    std::vector<std::string> changes;
    for (int i = 0; i < MeasuredChanges; ++i) {
        changes.push_back(resourceRecord(2 + i % (resourceCount - 2), 1 + i / (resourceCount - 2)));
    }
    const std::size_t heapBefore = heapBytes();
    const auto start = Clock::now();
    const config::Catalogue catalogue = withRecords(config::Catalogue(), records);
    const auto built = Clock::now();
    const std::size_t heap = heapBytes() - heapBefore;
    const config::Catalogue changed = withRecords(catalogue, changes);
    const auto afterChanges = Clock::now();
    const core::Digest digest = core::sha256("key-2");
    int found = 0;
    for (int i = 0; i < MeasuredLookups; ++i) {
        found +=
            catalogue.findKey(digest) != nullptr && catalogue.findRoute("any.example", "/visits/route-3/1") != nullptr
                ? 1
                : 0;
    }
    const auto afterLookups = Clock::now();
    const std::string text = changed.toJson();
    const auto written = Clock::now();
    const auto read = config::Catalogue::fromJson(text);
    const auto parsed = Clock::now();
    std::printf("%9zu %10.2f %10.2f %10.3f %9zu %9zu %9.2f %9.2f%s\n",
                changed.resourceCount(),
                microseconds(built - start, static_cast<int>(records.size())),
                microseconds(afterChanges - built, MeasuredChanges),
                microseconds(afterLookups - afterChanges, MeasuredLookups),
                heap / 1024,
                text.size() / 1024,
                microseconds(written - afterLookups, 1000),
                microseconds(parsed - written, 1000),
                read && found == MeasuredLookups ? "" : " (failed)");
}

}

int main()
{
    std::printf("resources  build/us  change/us  lookup/us  heap/KiB  json/KiB  write/ms  parse/ms\n");
    for (const int count : {10, 100, 1000, 10'000}) {
        measure(count);
    }
    return 0;
}
