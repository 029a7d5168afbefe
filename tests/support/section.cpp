#include "support/section.h"

#include <exception>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace berylspring::test {

namespace {

std::vector<std::string> &openSections()
{
    static std::vector<std::string> sections;
    return sections;
}

/** @brief Adds a title to the path for the lifetime of the object, and prints the path during stack unwinding. */
class OpenSection
{
public:
    explicit OpenSection(const std::string &title)
    {
        openSections().push_back(title);
    }
    ~OpenSection()
    {
        if (std::uncaught_exceptions() > 0) {
            UT_PRINT(("in section: " + currentSection()).c_str());
        }
        openSections().pop_back();
    }
    OpenSection(const OpenSection &) = delete;
    OpenSection &operator=(const OpenSection &) = delete;
};

}

void section(const std::string &title, const std::function<void()> &body)
{
    const OpenSection open(title);
    try {
        body();
    } catch (const std::exception &error) {
        // CppUTest 4.0 ends the whole test program on exceptions other than its own.
        FAIL(error.what());
    }
}

std::string currentSection()
{
    std::string path;
    for (const auto &title : openSections()) {
        path += (path.empty() ? "" : " > ") + title;
    }
    return path;
}

void detail::failWith(const std::string &message)
{
    FAIL(message.c_str());
}

}
