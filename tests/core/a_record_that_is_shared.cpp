#include "berylspring/core/shared_immutable.h"
#include "support/section.h"

#include <string>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using test::section;

namespace {

struct LetterFields
{
    std::string text;
    int pages = 1;
    [[nodiscard]] bool operator==(const LetterFields &) const = default;
};
using Letter = core::SharedImmutable<LetterFields>;

}

TEST_GROUP(ARecordThatIsShared)
{
    /** Longer than the buffer inside a std::string, so that a copy has other bytes. */
    const std::string text{"the roses of the front garden were cut today"};
    Letter letter{LetterFields{.text = text}};
};

TEST(ARecordThatIsShared, isComparedByItsFields)
{
    CHECK(letter == Letter(LetterFields{.text = text}));
    CHECK(letter != Letter(LetterFields{.text = text, .pages = 2}));
    section("a default one has the defaults of its fields", [] {
        CHECK(Letter() == Letter(LetterFields()));
        LONGS_EQUAL(1, Letter()->pages);
    });
}

// Guards against a change that is seen through another owner of the fields.
TEST(ARecordThatIsShared, neverChangesForItsOtherOwners)
{
    const Letter other = letter;
    POINTERS_EQUAL(other->text.data(), letter->text.data());
    section("with() on an lvalue", [&] {
        LONGS_EQUAL(2, letter.with(&LetterFields::pages, 2)->pages);
        LONGS_EQUAL(1, letter->pages);
    });
    section("with() on an rvalue that is not the only owner", [&] {
        LONGS_EQUAL(3, Letter(letter).with(&LetterFields::pages, 3)->pages);
        LONGS_EQUAL(1, other->pages);
    });
    section("release()", [&] {
        CHECK(Letter(letter).release().text == text);
        CHECK(other->text == text);
    });
}

TEST(ARecordThatIsShared, isNotCopiedByItsOnlyOwner)
{
    const char *const bytes = letter->text.data();
    section("when it is changed", [&] {
        letter = std::move(letter).with(&LetterFields::pages, 2);
        POINTERS_EQUAL(bytes, letter->text.data());
        letter = std::move(letter).modified([](LetterFields &fields) { ++fields.pages; });
        POINTERS_EQUAL(bytes, letter->text.data());
        LONGS_EQUAL(3, letter->pages);
    });
    section("when its fields are taken out", [&] {
        const LetterFields fields = std::move(letter).release();
        POINTERS_EQUAL(bytes, fields.text.data());
    });
}
