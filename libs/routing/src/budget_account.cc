#include "pomelomill/routing/budget_account.h"

#include <algorithm>

namespace pomelomill {

BudgetAccount::BudgetAccount(double availability, Duration window,
                             double expected_asked)
    : availability_(availability),
      step_(std::max(Duration(1), window / static_cast<int>(kSteps))),
      expected_asked_(expected_asked) {
  steps_.fill(-1);
}

std::int64_t BudgetAccount::StepOf(Instant now) const {
  return now.time_since_epoch() / step_;
}

void BudgetAccount::Record(bool was_answered_in_time, Instant now) {
  const std::int64_t step = StepOf(now);
  const auto slot = static_cast<std::size_t>(step) % kSteps;
  if (steps_[slot] != step) {
    steps_[slot] = step;
    counts_[slot] = {};
  }
  if (latest_step_ != step) {
    latest_step_ = step;
    latest_sum_ = Sum(step);
  }
  ++counts_[slot].asked;
  ++latest_sum_.asked;
  if (!was_answered_in_time) return;
  ++counts_[slot].answered;
  ++latest_sum_.answered;
}

BudgetCounts BudgetAccount::Counts(Instant now) const {
  const std::int64_t step = StepOf(now);
  return step == latest_step_ ? latest_sum_ : Sum(step);
}

BudgetCounts BudgetAccount::Sum(std::int64_t step) const {
  BudgetCounts sum;
  for (std::size_t i = 0; i < kSteps; ++i) {
    if (steps_[i] < 0 || steps_[i] <= step - static_cast<std::int64_t>(kSteps))
      continue;
    sum.asked += counts_[i].asked;
    sum.answered += counts_[i].answered;
  }
  return sum;
}

double BudgetAccount::Left(Instant now) const {
  const BudgetCounts sum = Counts(now);
  const double allowed =
      (1 - availability_) *
      std::max(static_cast<double>(sum.asked), expected_asked_);
  const auto missed = static_cast<double>(sum.asked - sum.answered);
  if (missed == 0) return 1;
  return 1 - missed / std::max(allowed, 1e-9);
}

}  // namespace pomelomill
