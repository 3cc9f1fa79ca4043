#pragma once

#include <array>
#include <cstdint>

#include "pomelomill/base.h"

namespace pomelomill {

/// Counts of one queue over its window.
struct BudgetCounts {
  std::uint64_t asked = 0;
  /// Answered completely within the deadline.
  std::uint64_t answered = 0;

  bool operator==(const BudgetCounts&) const = default;
};

/// Availability budget of one queue: requests that were asked and requests
/// that were answered within the deadline, over a sliding window. The window
/// moves in steps of a sixtieth.
class BudgetAccount {
 public:
  static constexpr std::size_t kSteps = 60;

  /// `expected_asked` is the number of requests that the window holds at the
  /// declared mean rate; it keeps one miss at the start of a window from
  /// counting as a spent budget.
  BudgetAccount(double availability, Duration window, double expected_asked);

  void Record(bool was_answered_in_time, Instant now);

  BudgetCounts Counts(Instant now) const;

  /// Share of the allowed misses that is left: 1 when none was used, 0 when
  /// all were, negative beyond.
  double Left(Instant now) const;

 private:
  std::int64_t StepOf(Instant now) const;
  BudgetCounts Sum(std::int64_t step) const;

  double availability_;
  Duration step_;
  double expected_asked_;
  std::array<BudgetCounts, kSteps> counts_{};
  /// Step number that each slot of `counts_` holds.
  std::array<std::int64_t, kSteps> steps_{};
  /// Sum over the window that ends with the step of the latest record; each
  /// request reads it several times.
  BudgetCounts latest_sum_;
  std::int64_t latest_step_ = -1;
};

}  // namespace pomelomill
