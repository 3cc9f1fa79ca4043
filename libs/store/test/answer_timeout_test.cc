#include "pomelomill/store/answer_timeout.h"

#include <doctest/doctest.h>

namespace pomelomill {
namespace {

using std::chrono::milliseconds;

constexpr Duration kShortest = milliseconds(150);
constexpr Duration kLongest = milliseconds(900);

}  // namespace

// Guards against a writer that waits most of a second for each lost answer
// although the store answers within milliseconds.
TEST_CASE("the timeout is short while answers are quick") {
  AnswerTimeout timeout(kShortest, kLongest);
  CHECK(timeout.current() == kLongest);
  for (int i = 0; i < 20; ++i) timeout.OnAnswer(milliseconds(4));
  CHECK(timeout.current() == kShortest);
}

// Guards against a slow store on which no call is ever answered in time.
TEST_CASE("the timeout grows until a slow store answers in time") {
  AnswerTimeout timeout(kShortest, kLongest);
  for (int i = 0; i < 20; ++i) timeout.OnAnswer(milliseconds(4));
  const Duration slow = milliseconds(300);
  int unanswered = 0;
  for (; timeout.current() < slow; ++unanswered) timeout.OnNoAnswer();
  CHECK(unanswered == 1);
  timeout.OnAnswer(slow);
  CHECK(timeout.current() == kLongest);
  timeout.OnNoAnswer();
  CHECK(timeout.current() == kLongest);
}

// Guards against repeats on an overloaded link, where small calls are answered
// in time between large ones.
TEST_CASE("one quick answer does not make the timeout short") {
  AnswerTimeout timeout(kShortest, kLongest);
  for (int i = 0; i < 20; ++i) timeout.OnAnswer(milliseconds(4));
  timeout.OnAnswer(milliseconds(200));
  timeout.OnAnswer(milliseconds(4));
  CHECK(timeout.current() >= milliseconds(600));
}

}  // namespace pomelomill
