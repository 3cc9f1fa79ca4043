#pragma once

#include <algorithm>

#include "pomelomill/base/time.h"

namespace pomelomill {

/// Timeout of calls that may safely be repeated: short while the store answers
/// quickly, and longer when it is slow. Answers the load pattern of a store
/// that loses a part of its answers: each lost one holds up everything that
/// waits for the call until the timeout.
class AnswerTimeout {
 public:
  /// `shortest` and `longest` bound the timeout, which begins as `longest`.
  AnswerTimeout(Duration shortest, Duration longest)
      : shortest_(shortest), longest_(longest), current_(longest) {}

  Duration current() const { return current_; }

  /// A call was answered after this time.
  void OnAnswer(Duration took) {
    // Falls slowly, since calls of one kind differ in size.
    current_ = std::clamp(std::max(kAnswerTimes * took, current_ * 3 / 4),
                          shortest_, longest_);
  }
  /// A call was not answered: the answer is lost, or the store has become slow.
  void OnNoAnswer() { current_ = std::min(2 * current_, longest_); }

 private:
  /// An answer may take this many times as long as the one before it.
  static constexpr int kAnswerTimes = 4;

  const Duration shortest_;
  const Duration longest_;
  Duration current_;
};

}  // namespace pomelomill
