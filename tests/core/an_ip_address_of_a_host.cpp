#include "berylspring/core/ip_address.h"
#include "support/section.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using test::checkProperty;
using test::section;

TEST_GROUP(AnIpAddressOfAHost){};

// Guards against addresses in foreign data that no message can be sent to, or that mean this host.
TEST(AnIpAddressOfAHost, isReadFromTextOfOtherWriters)
{
    section("IP numbers are read", [] {
        for (const char *text : {"10.1.0.26", "127.0.0.1", "::1", "2001:db8::26"}) {
            CHECK_TRUE_TEXT(core::parseHostAddress(text).has_value(), text);
        }
    });
    section("other text is not", [] {
        for (const char *text :
             {"", " ", "host", "10.1.0", "10.1.0.256", "10.1.0.26:80", "10.1.0.26 ", "[::1]", ":::"}) {
            CHECK_FALSE_TEXT(core::parseHostAddress(text).has_value(), text);
        }
        CHECK_FALSE(core::parseHostAddress(std::string("10.1.0.26\0x", 11)).has_value());
        CHECK_FALSE(core::parseHostAddress(std::string(200'000, '1')).has_value());
    });
    section("numbers that no single host has are not", [] {
        for (const char *text : {"0.0.0.0", "::", "224.0.0.1", "ff02::1", "255.255.255.255"}) {
            CHECK_FALSE_TEXT(core::parseHostAddress(text).has_value(), text);
        }
    });
    section("arbitrary text", [] {
        checkProperty("is no address, or one that is read again", [](const std::string &text) {
            const auto address = core::parseHostAddress(text);
            if (address) {
                RC_ASSERT(core::parseHostAddress(address->to_string()) == address);
            }
        });
    });
}
