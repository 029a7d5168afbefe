#pragma once

#include <functional>
#include <string>

namespace berylspring::test {

/**
 * @brief Runs a section of a test and prints its path when a check in it fails.
 * @param title What the section checks.
 * @param body The checks of the section; may contain nested sections.
 */
void section(const std::string &title, const std::function<void()> &body);

/** @return Path of the running section as "outer > inner"; empty outside of sections. */
[[nodiscard]] std::string currentSection();

/**
 * @brief Checks a rapidcheck property inside a CppUTest test and fails the test with the counterexample.
 * @param title The property in words.
 * @param property Callable whose arguments rapidcheck generates.
 */
template<typename Property>
void checkProperty(const std::string &title, Property &&property);

}

#include "support/section.inl"
