#include "pomelomill/metrics/metric_registry.h"

#include <doctest/doctest.h>

#include <cmath>
#include <string>

namespace pomelomill {
namespace {

// Guards against text that a scraper cannot read.
TEST_CASE("metrics have the text exposition format") {
  MetricRegistry registry;
  registry.counter("requests_total", "Requests\nby team", {{"team", "a\"\\b"}})
      .Add(2);
  registry.gauge("slots", "Free slots").Set(1.5);
  CHECK(registry.Text() ==
        "# HELP requests_total Requests\\nby team\n"
        "# TYPE requests_total counter\n"
        "requests_total{team=\"a\\\"\\\\b\"} 2\n"
        "# HELP slots Free slots\n"
        "# TYPE slots gauge\n"
        "slots 1.5\n");
}

// Guards against buckets that are not cumulative and against values outside
// the bins that are lost.
TEST_CASE("histogram buckets are cumulative and end with the count") {
  MetricRegistry registry;
  TimeHistogram& histogram =
      registry.histogram("wait_seconds", "Wait", {{"pool", "p"}});
  for (const double value : {0.0, 0.0005, 0.01, 1.0, 1000.0}) {
    histogram.Observe(value);
  }
  histogram.Observe(-1);
  histogram.Observe(std::nan(""));
  CHECK(histogram.count() == 5);
  const auto bins = histogram.bins();
  CHECK(bins.front().cumulative == 2);
  for (std::size_t i = 1; i < bins.size(); ++i) {
    CHECK(bins[i].cumulative >= bins[i - 1].cumulative);
    CHECK(bins[i].upper > bins[i - 1].upper);
  }
  CHECK(bins[bins.size() - 2].cumulative == 4);
  const std::string text = registry.Text();
  CHECK(text.find("wait_seconds_bucket{pool=\"p\",le=\"0.001\"} 2\n") !=
        std::string::npos);
  CHECK(text.find("wait_seconds_bucket{pool=\"p\",le=\"+Inf\"} 5\n") !=
        std::string::npos);
  CHECK(text.find("wait_seconds_count{pool=\"p\"} 5\n") != std::string::npos);
}

// Guards against label values from callers that fill the memory.
TEST_CASE("the number of series is bounded") {
  MetricRegistry registry(3);
  for (int i = 0; i < 100; ++i) {
    registry.counter("c", "C", {{"team", std::to_string(i)}}).Add();
  }
  CHECK(registry.counter("c", "C", {{"team", "x"}}).value() == 97);
  CHECK(registry.Text().find("c{team=\"other\"} 97\n") != std::string::npos);
}

// Guards against a page that changes while another thread reads it.
TEST_CASE("a snapshot keeps its values") {
  MetricRegistry registry;
  Counter& counter = registry.counter("c", "C");
  TimeHistogram& histogram = registry.histogram("h_seconds", "H");
  counter.Add();
  histogram.Observe(1);
  const auto snapshot = registry.Snapshot();
  const std::string before = registry.Text();
  counter.Add();
  histogram.Observe(2);
  CHECK(snapshot->Text() == before);
  CHECK(registry.Text() != before);
}

}  // namespace
}  // namespace pomelomill
