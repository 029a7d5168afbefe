#include "node/announcer.h"
#include "support/section.h"

#include <map>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::checkProperty;
using test::section;

namespace {

namespace asio = boost::asio;
using eventlog::LogEntry;
using eventlog::LogPage;
using node::detail::Attempt;
using node::detail::LogView;

std::string
announcement(const std::string &host, const std::string &address = "10.1.0.26", const std::string &port = "7000")
{
    return R"({"host":")" + host + R"(","data_centre":"a","address":")" + address + R"(","port":)" + port + "}";
}

std::string repeated(const std::string &text, int count)
{
    std::string result;
    for (int i = 0; i < count; ++i) {
        result += text;
    }
    return result;
}

/** Entries that name no host to contact. */
std::vector<std::string> oddEntries()
{
    const std::string nested = repeated("[", 10'000) + repeated("]", 10'000);
    std::vector<std::string> entries{"",
                                     "{",
                                     "[]",
                                     "null",
                                     "7",
                                     nested,
                                     repeated(R"({"a":)", 10'000) + "1" + repeated("}", 10'000),
                                     std::string("\0\xff\xfe", 3),
                                     std::string(200'000, 'x'),
                                     R"({"host":7,"data_centre":[],"address":{},"port":"7000"})",
                                     announcement("Odd Host"),
                                     announcement(std::string(200'000, 'h')),
                                     announcement("odd", std::string(200'000, '1'))};
    for (const std::string port : {"0",
                                   "65536",
                                   "99999",
                                   "-1",
                                   "1.5",
                                   "1e400",
                                   "18446744073709551616",
                                   "9223372036854775808",
                                   "\"7000\"",
                                   "null",
                                   nested.c_str()}) {
        entries.push_back(announcement("odd", "10.1.0.27", port));
    }
    for (const std::string address : {"",
                                      "host.example",
                                      "10.1.0.256",
                                      "10.1.0.27:7000",
                                      " 10.1.0.27",
                                      "0.0.0.0",
                                      "::",
                                      "224.0.0.1",
                                      "255.255.255.255",
                                      "10.1.0.27\\u0000x"}) {
        entries.push_back(announcement("odd", address));
    }
    return entries;
}

}

TEST_GROUP(AnnouncementsOfOtherHosts)
{
    asio::io_context context;
    std::map<std::string, std::string> contacts;
    bool isStopping = false;

    eventlog::LogHooks log;
    std::vector<LogPage> pages; ///< Pages of the log in the order of the reads.
    std::size_t reads = 0;

    /** Runs the announcer until it has read the log for the first time. */
    void run(std::vector<LogPage> content)
    {
        pages = std::move(content);
        log.append = [](std::string, std::string) -> asio::awaitable<eventlog::Result<core::Offset>> {
            co_return core::Offset{0};
        };
        log.read = [this](std::string,
                          core::Offset,
                          std::uint32_t,
                          core::Duration) -> asio::awaitable<eventlog::Result<LogPage>> {
            if (reads < pages.size()) {
                co_return pages[reads++];
            }
            co_return LogPage({.records = {}, .next = 1000, .reachesEnd = true});
        };
        node::detail::AnnouncerHooks hooks{
            .log = log,
            .self = [] { return wire::MemberUpdate({.host = core::HostId("self")}); },
            .addContact =
                [this](const wire::MemberUpdate &member) { contacts[member->host.value()] = member->address; },
            .onRead = [] {},
            .lastLogContact = [] { return std::nullopt; },
            .now = [] { return core::TimePoint(); },
            .logGeneration = [] { return std::uint64_t{0}; },
            .isStopping = [this] { return isStopping; }};
        asio::co_spawn(context,
                       node::detail::announceThroughLog(std::move(hooks)),
                       [](const std::exception_ptr &failure) { CHECK_TRUE(failure == nullptr); });
        context.poll();
    }
};

// Guards against one odd entry that ends the announcer, becomes a contact, or hides the entries beside it.
TEST(AnnouncementsOfOtherHosts, areFollowedBesideOddOnes)
{
    std::vector<LogEntry> records;
    core::Offset offset = 0;
    for (const std::string &entry : oddEntries()) {
        records.push_back({++offset, entry});
    }
    records.insert(records.begin(), {0, announcement("first")});
    records.push_back({++offset, announcement("last", "2001:db8::26")});
    run({LogPage({.records = records, .next = offset + 1, .reachesEnd = true})});
    section("the proper entries are contacts", [&] {
        STRCMP_EQUAL("10.1.0.26", contacts["first"].c_str());
        STRCMP_EQUAL("2001:db8::26", contacts["last"].c_str());
    });
    section("the odd ones are not", [&] { LONGS_EQUAL(2, contacts.size()); });
}

// Guards against a node that takes part only seconds after the log has come back.
TEST(AnnouncementsOfOtherHosts, areReadSoonAfterTheLogAnswersAgain)
{
    const core::TimePoint start{core::Duration(1h)};
    const Attempt failed({.at = start});
    section("without an answer of the log, the next attempt is in 2 s", [&] {
        CHECK_FALSE(isAttemptDue(failed, LogView({.lastContact = start - 1s}), start + 1999ms));
        CHECK_TRUE(isAttemptDue(failed, LogView({.lastContact = start - 1s}), start + 2s));
    });
    section("once it answers, in half a second", [&] {
        const LogView view({.lastContact = start + 1ms});
        CHECK_FALSE(isAttemptDue(failed, view, start + 499ms));
        CHECK_TRUE(isAttemptDue(failed, view, start + 500ms));
    });
    section("after a success, only when the log was restored", [&] {
        const Attempt succeeded({.at = start, .generation = 1, .hasSucceeded = true});
        CHECK_FALSE(isAttemptDue(succeeded, LogView({.lastContact = start + 1s, .generation = 1}), start + 5min));
        CHECK_TRUE(isAttemptDue(succeeded, LogView({.lastContact = start + 1s, .generation = 2}), start + 2s));
    });
}

// Guards against a loop without a pause on a log that returns the same page again and again.
TEST(AnnouncementsOfOtherHosts, areNotReadAgainWithoutAPause)
{
    const LogPage page({.records = {{5, announcement("same")}}, .next = 6, .reachesEnd = false});
    run({page, page, page, page});
    CHECK_TRUE(contacts.contains("same"));
    LONGS_EQUAL(2, reads);
}

// Guards against a page without a readable record that is taken for the end of the log.
TEST(AnnouncementsOfOtherHosts, areFollowedBehindAPageOfOddOnes)
{
    run({LogPage({.records = {}, .next = 500, .reachesEnd = false}),
         LogPage({.records = {{500, announcement("later")}}, .next = 501, .reachesEnd = true})});
    CHECK_TRUE(contacts.contains("later"));
}

// Guards against an announcer that ends on bytes of any kind.
TEST(AnnouncementsOfOtherHosts, areFollowedWhateverTheOthersAre)
{
    checkProperty(
        "arbitrary and mutated entries", [this](const std::vector<std::string> &entries, std::uint16_t place) {
            std::vector<LogEntry> records;
            core::Offset offset = 0;
            for (const std::string &entry : entries) {
                records.push_back({offset++, entry});
            }
            std::string mutated = announcement("mutated");
            mutated.replace(place % mutated.size(),
                            1,
                            *rc::gen::element<std::string>("[", "\"", "{", "-", "1e400", "\xff", "null", "\\u0000"));
            records.push_back({offset++, mutated});
            records.push_back({offset++, announcement("last")});
            contacts.clear();
            reads = 0;
            context.restart();
            run({LogPage({.records = records, .next = offset, .reachesEnd = true})});
            RC_ASSERT(contacts.contains("last"));
        });
}
