#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

#include "pomelomill/routing.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Instant At(std::int64_t ms) { return Instant(milliseconds(ms)); }

// Guards against an order other than earliest deadline first, and against a
// queue that exceeds its capacity.
TEST_CASE("the deadline queue behaves like a sorted list") {
  CHECK(rc::check([](const std::vector<std::pair<bool, std::uint8_t>>& steps) {
    constexpr std::size_t kCapacity = 8;
    DeadlineQueue queue(kCapacity);
    std::vector<std::pair<Instant, RequestId>> naive;
    std::uint64_t next = 1;
    for (const auto& [is_push, value] : steps) {
      if (is_push) {
        const RequestId id(next++);
        const Instant deadline = At(value % 16);
        RC_ASSERT(queue.Push(id, deadline) == (naive.size() < kCapacity));
        if (naive.size() < kCapacity) naive.emplace_back(deadline, id);
      } else if (!naive.empty()) {
        const auto victim = naive[value % naive.size()];
        RC_ASSERT(queue.Erase(victim.second, victim.first));
        RC_ASSERT(!queue.Erase(victim.second, victim.first));
        naive.erase(naive.begin() + value % naive.size());
      }
      std::sort(naive.begin(), naive.end());
      RC_ASSERT(queue.size() == naive.size());
      const Instant limit = At(value % 16);
      std::size_t up_to = 0;
      std::optional<RequestId> last;
      for (const auto& it : naive) {
        if (it.first > limit) continue;
        ++up_to;
        last = it.second;
      }
      RC_ASSERT(queue.CountUpTo(limit) == up_to);
      RC_ASSERT(queue.LastUpTo(limit) == last);
      if (naive.empty()) {
        RC_ASSERT(!queue.Front().has_value());
        RC_ASSERT(!queue.Back().has_value());
      } else {
        RC_ASSERT(*queue.Front() == naive.front().second);
        RC_ASSERT(queue.front_deadline() == naive.front().first);
        RC_ASSERT(*queue.Back() == naive.back().second);
      }
    }
  }));
}

// Guards against requests that are counted twice, leave the window early or
// stay in it too long.
TEST_CASE("the error budget matches a count over all requests") {
  CHECK(rc::check([](const std::vector<std::pair<bool, std::uint16_t>>& steps) {
    const Duration window = seconds(60);
    ErrorBudget budget(0.9, window, 20);
    std::vector<std::pair<std::int64_t, bool>> naive;
    std::int64_t ms = 0;
    for (const auto& [is_answered, wait] : steps) {
      ms += wait % 5000;
      budget.Record(is_answered, At(ms));
      naive.emplace_back(ms, is_answered);
      RequestCounts expected;
      for (const auto& [at, good] : naive) {
        if (at / 1000 <= ms / 1000 - 60) continue;
        ++expected.requests;
        if (good) ++expected.answered_in_time;
      }
      RC_ASSERT(budget.Counts(At(ms)) == expected);
      const auto missed =
          static_cast<double>(expected.requests - expected.answered_in_time);
      const double allowed =
          0.1 * std::max(20.0, static_cast<double>(expected.requests));
      RC_ASSERT(std::abs(budget.RemainingShare(At(ms)) -
                         (1 - missed / allowed)) < 1e-9);
    }
  }));
}

// Guards against a team that sends more than its rate plus one burst.
TEST_CASE("the token bucket never gives more than burst plus rate times time") {
  CHECK(rc::check([](const std::vector<std::uint8_t>& waits) {
    constexpr double kRate = 20;
    constexpr double kBurst = 5;
    TokenBucket bucket(kRate, kBurst, At(0));
    std::int64_t ms = 0;
    double given = 0;
    for (const std::uint8_t wait : waits) {
      ms += wait;
      const bool is_free = bucket.TimeUntilToken(At(ms)) == Duration(0);
      const bool is_taken = bucket.Take(At(ms));
      RC_ASSERT(is_taken == is_free);
      if (is_taken) given += 1;
      RC_ASSERT(given <= kBurst + kRate * static_cast<double>(ms) / 1e3 + 1e-6);
      const Instant later = At(ms) + bucket.TimeUntilToken(At(ms));
      RC_ASSERT(bucket.tokens(later) >= 1 - 1e-6);
    }
  }));
}

// Guards against shedding from a queue while another one has more error budget.
TEST_CASE("shedding takes from the queue with the largest remaining budget") {
  CHECK(rc::check([](const std::vector<std::pair<bool, int>>& queues) {
    std::vector<QueueView> views;
    double best = -1e18;
    for (const auto& [has_waiting, left] : queues) {
      QueueView view;
      view.waiting = has_waiting ? 1 : 0;
      view.budget_left = left;
      views.push_back(view);
      if (has_waiting) best = std::max(best, view.budget_left);
    }
    const auto victim = ChooseQueueToShed(views);
    RC_ASSERT(victim.has_value() == (best > -1e18));
    if (victim) RC_ASSERT(views[*victim].budget_left == best);
    if (victim) RC_ASSERT(views[*victim].waiting > 0);
  }));
}

// Guards against serving a queue with budget to spare before a queue whose
// error budget is exhausted, and against an order other than earliest deadline
// first between queues with equal budgets.
TEST_CASE("scheduling prefers the earlier deadline and the tighter budget") {
  QueueView early{.waiting = 1, .front_deadline = At(500), .budget_left = 1};
  QueueView late{.waiting = 1, .front_deadline = At(1000), .budget_left = 1};
  CHECK(ChooseQueueToServe({late, early}, At(0)) == std::size_t{1});
  late.budget_left = -3;
  CHECK(ChooseQueueToServe({late, early}, At(0)) == std::size_t{0});
  late.waiting = 0;
  CHECK(ChooseQueueToServe({late, early}, At(0)) == std::size_t{1});
  early.waiting = 0;
  CHECK(!ChooseQueueToServe({late, early}, At(0)).has_value());
}

// Guards against retries that multiply the load.
TEST_CASE("retries stay within their share of first attempts") {
  RetryBudget budget(0.1, 10);
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnFreshRequest();
    while (budget.Take()) ++retries;
  }
  CHECK(retries <= 110);
  CHECK(retries >= 100);
}

}  // namespace
}  // namespace pomelomill
