#include "pomelomill/entry/demand_meter.h"

#include <doctest/doctest.h>

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const QueueId kQueue("s/q");

Instant At(int s) { return Instant(seconds(s)); }

QueueTotals Totals(std::uint64_t arrived) {
  return {
      .queue = kQueue, .arrived = arrived, .service_time = milliseconds(50)};
}

// Guards against a mean that starts from zero, and against a current rate
// that does not show a peak of a few seconds.
TEST_CASE("the meter shows the mean and the peak") {
  DemandMeter meter;
  std::uint64_t n = 0;
  for (int s = 0; s <= 60; ++s) {
    meter.Observe({Totals(n)}, At(s));
    n += s >= 50 ? 100 : 20;
  }
  REQUIRE(meter.Loads().size() == 1);
  const QueueLoad load = meter.Loads()[0];
  CHECK(load.mean_rate > 25);
  CHECK(load.mean_rate < 45);
  CHECK(load.current_rate > 90);
}

// Guards against a counter that starts again: the difference wrapped around
// to 1.3e19 requests a second, and the planner looked for that many VMs.
TEST_CASE("a total that goes back starts the meter again") {
  DemandMeter meter;
  meter.Observe({Totals(1000)}, At(0));
  meter.Observe({Totals(1100)}, At(1));
  meter.Observe({Totals(0)}, At(2));
  meter.Observe({Totals(20)}, At(3));
  CHECK(meter.Loads()[0].mean_rate == doctest::Approx(20));
}

// Guards against plans from the demand of one entry only, and against budgets
// that count the misses of one entry only.
TEST_CASE("demand adds up over entries") {
  std::map<QueueId, QueueDeclaration> queues;
  queues[kQueue] = {.id = kQueue,
                    .availability = 0.99,
                    .window = seconds(100),
                    .mean_rate = 10};
  const QueueLoad load{.queue = kQueue,
                       .mean_rate = 5,
                       .current_rate = 50,
                       .service_time = milliseconds(100),
                       .asked = 1000,
                       .missed = 4};
  QueueLoad unknown = load;
  unknown.queue = QueueId("s/other");
  const auto demand = SumDemand({{load, unknown}, {load}}, queues);
  REQUIRE(demand.size() == 1);
  const QueueDemand& sum = demand.at(kQueue);
  CHECK(sum.mean_rate == doctest::Approx(10));
  CHECK(sum.current_rate == doctest::Approx(100));
  CHECK(sum.service_time == milliseconds(100));
  CHECK(sum.budget_spent == doctest::Approx(8));
  CHECK(sum.budget_left == doctest::Approx(12));
}

// Guards against a plan from the first seconds of new entries: a wave took half
// of a pool whose queue had just been in a trough.
TEST_CASE("the declared rate counts until enough requests were seen") {
  std::map<QueueId, QueueDeclaration> queues;
  queues[kQueue] = {.id = kQueue, .mean_rate = 100};
  const QueueLoad young{.queue = kQueue,
                        .mean_rate = 10,
                        .current_rate = 10,
                        .service_time = milliseconds(100),
                        .asked = 30};
  QueueLoad old = young;
  old.asked = 3000;
  CHECK(SumDemand({{young}}, queues).at(kQueue).mean_rate ==
        doctest::Approx(0.01 * 10 + 0.99 * 100));
  CHECK(SumDemand({{old}}, queues).at(kQueue).mean_rate == doctest::Approx(10));
}

}  // namespace
}  // namespace pomelomill
