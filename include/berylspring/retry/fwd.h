#pragma once

namespace berylspring::retry {

class BackoffPolicy;
class Failure;
class RetryAllowance;
class RetryBudget;
class RetryBudgets;
enum class FailureOrigin;

}
