#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

#include "pomelomill/routing.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Instant At(std::int64_t ms) { return Instant(milliseconds(ms)); }

// Guards against an order other than earliest deadline first and against a
// queue that exceeds its bound.
TEST_CASE("the deadline queue equals a sorted list") {
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

// Guards against requests that are counted twice, forgotten early or kept
// beyond the window.
TEST_CASE("the budget account equals a list of all requests") {
  CHECK(rc::check([](const std::vector<std::pair<bool, std::uint16_t>>& steps) {
    const Duration window = seconds(60);
    BudgetAccount account(0.9, window, 20);
    std::vector<std::pair<std::int64_t, bool>> naive;
    std::int64_t ms = 0;
    for (const auto& [is_answered, wait] : steps) {
      ms += wait % 5000;
      account.Record(is_answered, At(ms));
      naive.emplace_back(ms, is_answered);
      BudgetCounts expected;
      for (const auto& [at, good] : naive) {
        if (at / 1000 <= ms / 1000 - 60) continue;
        ++expected.asked;
        if (good) ++expected.answered;
      }
      RC_ASSERT(account.Counts(At(ms)) == expected);
      const auto missed =
          static_cast<double>(expected.asked - expected.answered);
      const double allowed =
          0.1 * std::max(20.0, static_cast<double>(expected.asked));
      RC_ASSERT(std::abs(account.Left(At(ms)) - (1 - missed / allowed)) < 1e-9);
    }
  }));
}

// Guards against a team that gets more than its rate plus one burst.
TEST_CASE("the token bucket never gives more than burst plus rate times time") {
  CHECK(rc::check([](const std::vector<std::uint8_t>& waits) {
    constexpr double kRate = 20;
    constexpr double kBurst = 5;
    TokenBucket bucket(kRate, kBurst, At(0));
    std::int64_t ms = 0;
    double given = 0;
    for (const std::uint8_t wait : waits) {
      ms += wait;
      const bool is_free = bucket.TimeToToken(At(ms)) == Duration(0);
      const bool is_taken = bucket.Take(At(ms));
      RC_ASSERT(is_taken == is_free);
      if (is_taken) given += 1;
      RC_ASSERT(given <= kBurst + kRate * static_cast<double>(ms) / 1e3 + 1e-6);
      const Instant later = At(ms) + bucket.TimeToToken(At(ms));
      RC_ASSERT(bucket.tokens(later) >= 1 - 1e-6);
    }
  }));
}

// Guards against entries that together use more slots of a VM than it has,
// and against slots that no entry may use.
TEST_CASE("the shares of all entries add up to the slots of each VM") {
  CHECK(rc::check([](const std::vector<std::uint8_t>& weights,
                     std::uint8_t slots, std::uint16_t vm) {
    std::vector<EntryShare> shares;
    std::uint64_t sum = 0;
    for (const std::uint8_t weight : weights) {
      shares.push_back({.entry = EntryId("e" + std::to_string(shares.size())),
                        .incarnation = IncarnationId("i"),
                        .weight = weight});
      sum += weight;
    }
    const VmId id("vm-" + std::to_string(vm));
    std::uint64_t given = 0;
    for (const EntryShare& it : shares) {
      const std::uint32_t share =
          ShareOf(shares, it.entry, it.incarnation, id, slots);
      const double exact = sum == 0 ? 0 : 1.0 * slots * it.weight / sum;
      RC_ASSERT(share <= exact + 1);
      RC_ASSERT(share + 1 >= exact);
      given += share;
    }
    RC_ASSERT(given == (sum == 0 ? 0 : slots));
    RC_ASSERT(ShareOf(shares, EntryId("e0"), IncarnationId("old"), id, slots) ==
              0);
    if (!shares.empty()) {
      const std::uint32_t others =
          sum == 0 ? 0
                   : slots - ShareOf(shares, EntryId("e0"), IncarnationId("i"),
                                     id, slots);
      shares[0].phase = SharePhase::kLeaving;
      std::uint32_t left = 0;
      for (const EntryShare& it : shares) {
        left += ShareOf(shares, it.entry, it.incarnation, id, slots);
      }
      RC_ASSERT(left == others);
    }
  }));
}

// Guards against an entry that uses its share before the old owner has given
// it up, or after it has.
TEST_CASE("joining and leaving entries own no slots") {
  std::vector<EntryShare> shares;
  for (int i = 0; i < 3; ++i) {
    shares.push_back({EntryId("e" + std::to_string(i)), IncarnationId("i"), 1});
  }
  const VmId vm("vm-1");
  const auto share = [&](int i) {
    return ShareOf(shares, shares[i].entry, IncarnationId("i"), vm, 9);
  };
  CHECK(share(1) == 3);
  for (const SharePhase phase : {SharePhase::kJoining, SharePhase::kLeaving}) {
    shares[1].phase = phase;
    CHECK(share(1) == 0);
    CHECK(share(0) == 3);
    CHECK(share(2) == 3);
  }
}

// Guards against entries that own no slot anywhere when there are more
// entries than slots of one VM.
TEST_CASE("remainders of shares rotate over the VMs of a pool") {
  std::vector<EntryShare> shares;
  for (int i = 0; i < 16; ++i) {
    shares.push_back({EntryId("e" + std::to_string(i)), IncarnationId("i"), 1});
  }
  for (const EntryShare& it : shares) {
    std::uint32_t sum = 0;
    for (int vm = 0; vm < 12; ++vm) {
      sum += ShareOf(shares, it.entry, it.incarnation,
                     VmId("vm-" + std::to_string(vm)), 8);
    }
    CHECK(sum >= 1);
  }
}

// Guards against shedding from a queue that can afford it less.
TEST_CASE("shedding takes from the queue with most budget left") {
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

// Guards against a queue with a spent budget that waits behind one that can
// afford to wait, and against plain EDF being lost when budgets are equal.
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

// Guards against a hot endpoint that wins because its past latency was low.
TEST_CASE("a cold endpoint wins over a hot one, then latency decides") {
  Random random(1);
  std::vector<Candidate> candidates = {
      {.index = 0, .in_flight = 7, .latency = 0.1},
      {.index = 1, .in_flight = 1, .latency = 2},
      {.index = 2, .in_flight = 1, .latency = 1},
      {.index = 3, .in_flight = 1, .latency = 2},
      {.index = 4, .in_flight = 1, .latency = 2},
  };
  std::vector<int> chosen(candidates.size());
  for (int i = 0; i < 1000; ++i) {
    ++chosen[*ChooseEndpoint(candidates, random)];
  }
  CHECK(chosen[0] == 0);
  CHECK(chosen[2] > chosen[1]);
  CHECK(chosen[2] > chosen[3]);
  CHECK(!ChooseEndpoint({}, random).has_value());
}

// Guards against an endpoint that attracts load because it fails fast.
TEST_CASE("fast failures look slow and are evidence") {
  EndpointStats stats;
  for (int i = 0; i < 4; ++i) stats.Record(true, 0.01, At(0));
  CHECK(stats.latency() > 1.5);
  const EjectionOptions options;
  CHECK(JudgeEndpoint(stats, 1, options) == EjectionReason::kNone);
  stats.Record(true, 0.01, At(0));
  CHECK(JudgeEndpoint(stats, 1, options) == EjectionReason::kFailures);
  EndpointStats slow;
  for (int i = 0; i < 40; ++i) slow.Record(false, 5, At(0));
  CHECK(JudgeEndpoint(slow, 1, options) == EjectionReason::kLag);
  CHECK(JudgeEndpoint(slow, 4, options) == EjectionReason::kNone);
}

// Guards against an endpoint that is avoided for ever after one bad sample.
TEST_CASE("the latency of an endpoint that gets no work is forgotten") {
  EndpointStats stats;
  stats.Record(true, 11, At(0));
  CHECK(stats.latency_at(At(0)) == doctest::Approx(2));
  CHECK(stats.latency_at(At(5000)) == doctest::Approx(1.5));
  CHECK(stats.latency_at(At(60000)) < 1.01);
}

// Guards against ejecting the whole pool.
TEST_CASE("at least the floor share and one endpoint remain") {
  const EjectionOptions options{.floor_share = 0.5};
  CHECK(MaxEjected(0, options) == 0);
  CHECK(MaxEjected(1, options) == 0);
  CHECK(MaxEjected(2, options) == 1);
  CHECK(MaxEjected(9, options) == 4);
}

// Guards against retries that multiply the load.
TEST_CASE("retries stay within their share of fresh requests") {
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
