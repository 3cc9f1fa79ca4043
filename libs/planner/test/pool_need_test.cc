#include "pomelomill/planner/pool_need.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cmath>

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

QueueDeclaration MakeQueue(double rate, int service_ms, int deadline_ms,
                           double availability) {
  QueueDeclaration queue;
  queue.id = QueueId("s/q");
  queue.mean_rate = rate;
  queue.service_time = milliseconds(service_ms);
  queue.deadline = milliseconds(deadline_ms);
  queue.availability = availability;
  return queue;
}

/// P(W > t) of an M/M/c queue with `c` servers and load `a`, from the sum over
/// its states; `t` is in mean service times.
double NaiveWaitTail(std::uint32_t c, double a, double t) {
  double sum = 0;
  double term = 1;
  for (std::uint32_t n = 0; n < c; ++n) {
    sum += term;
    term *= a / (n + 1);
  }
  const double waiting = term * c / (c - a);
  return waiting / (sum + waiting) * std::exp(-(c - a) * t);
}

// Guards against an error in the Erlang B recursion, from which the base need
// follows.
TEST_CASE("the wait tail agrees with the sum over the states") {
  CHECK(rc::check([] {
    const auto c = *rc::gen::inRange<std::uint32_t>(1, 100);
    const double a = c * *rc::gen::inRange(1, 99) / 100.0;
    const double t = *rc::gen::inRange(0, 20) / 10.0;
    const double naive = NaiveWaitTail(c, a, t);
    RC_ASSERT(std::abs(ErlangWaitTail(c, a, t) - naive) <= 1e-9 + naive * 1e-6);
  }));
}

// Guards against a base need that exceeds the budget, or that is larger than
// the budget requires.
TEST_CASE("the base need is the smallest count that keeps the budget") {
  CHECK(rc::check([] {
    const QueueDeclaration queue =
        MakeQueue(*rc::gen::inRange(1, 500), *rc::gen::inRange(10, 1000),
                  *rc::gen::inRange(1000, 5000), 0.99);
    const PoolDeclaration pool;
    const NeedOptions options;
    const PoolNeed need =
        ComputePoolNeed(pool, {{&queue, DeclaredDemand(queue)}}, options);
    const double wait =
        ToSeconds(queue.deadline) / ToSeconds(queue.service_time) - 1;
    const double limit = options.base_budget_share * 0.01;
    RC_ASSERT(ErlangWaitTail(need.base * pool.slots, need.load_slots, wait) <=
              limit * (1 + 1e-9));
    if (need.base > need.stable) {
      RC_ASSERT(ErlangWaitTail((need.base - 1) * pool.slots, need.load_slots,
                               wait) > limit * (1 - 1e-9));
    }
  }));
}

// Guards against a peak need that is too small: a fluid model of the queue, in
// steps of 10 ms, must miss no more requests than the budget allows.
TEST_CASE("the peak need serves a peak of a fluid model within the budget") {
  CHECK(rc::check([] {
    const QueueDeclaration queue =
        MakeQueue(*rc::gen::inRange(5, 300), *rc::gen::inRange(10, 800),
                  *rc::gen::inRange(1000, 9000), 0.999);
    QueueDemand demand = DeclaredDemand(queue);
    demand.peak_duration = seconds(*rc::gen::inRange(1, 20));
    const PoolDeclaration pool;
    const NeedOptions options;
    const PoolNeed need = ComputePoolNeed(pool, {{&queue, demand}}, options);
    const double capacity = need.peak * pool.slots;
    const double slack =
        ToSeconds(queue.deadline) - ToSeconds(queue.service_time);
    const double dt = 0.01;
    double backlog = 0;  // slot-seconds of work
    double missed = 0;
    for (double t = 0; t < ToSeconds(demand.peak_duration) + 30; t += dt) {
      const double factor = t < ToSeconds(demand.peak_duration)
                                ? demand.peak_factor
                                : options.trough_factor;
      backlog += need.load_slots * factor * dt;
      backlog = std::max(0.0, backlog - capacity * dt);
      const double excess = std::max(0.0, backlog - capacity * slack);
      missed += excess;
      backlog -= excess;
    }
    const double allowed =
        demand.budget_left * options.peak_budget_share /
        (ToSeconds(queue.window) / ToSeconds(demand.peak_interval));
    RC_ASSERT(missed <= allowed * ToSeconds(queue.service_time) +
                            need.load_slots * 5 * 2 * dt);
  }));
}

// Guards against a need that does not depend on the remaining budget: without
// remaining budget a queue needs more VMs in a peak than with its full budget.
TEST_CASE("a spent budget raises the peak need") {
  const QueueDeclaration queue = MakeQueue(100, 500, 1000, 0.9);
  QueueDemand demand = DeclaredDemand(queue);
  const PoolDeclaration pool;
  const auto full = ComputePoolNeed(pool, {{&queue, demand}}, {}).peak;
  demand.budget_left = 0;
  const auto spent = ComputePoolNeed(pool, {{&queue, demand}}, {}).peak;
  CHECK(spent > full);
}

}  // namespace
}  // namespace pomelomill
