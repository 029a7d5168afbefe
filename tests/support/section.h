#pragma once

#include <functional>
#include <string>

namespace berylspring::test {

/**
 * @brief Runs one step of a test story and names it, with its enclosing steps, when a check in it fails.
 * @param title What the step shows.
 * @param body The checks of the step; may contain further sections.
 */
void section(const std::string &title, const std::function<void()> &body);

/** @brief Path of the running section, "outer > inner", empty outside of sections. */
[[nodiscard]] std::string currentSection();

/**
 * @brief Runs a rapidcheck property inside a CppUTest test and fails the test with the counterexample.
 * @param title What always holds.
 * @param property Callable with arguments that rapidcheck generates.
 */
template<typename Property>
void checkProperty(const std::string &title, Property &&property);

}

#include "support/section.inl"
