#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace pomelomill {

struct MetricLabel {
  std::string name;
  std::string value;

  // clang-tidy 14 takes the 0 of the rewritten comparison for a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const MetricLabel&) const = default;
};

using MetricLabels = std::vector<MetricLabel>;

/// A sum that only grows.
class Counter {
 public:
  void Add(double amount = 1) {
    if (amount > 0) value_ += amount;
  }
  double value() const { return value_; }

 private:
  double value_ = 0;
};

class Gauge {
 public:
  void Set(double value) { value_ = value; }
  double value() const { return value_; }

 private:
  double value_ = 0;
};

/// Distribution of times in seconds, by Boost.Histogram with 24 bins from
/// 1 ms to 64 s whose widths grow by a constant factor of about 1.6.
class TimeHistogram {
 public:
  TimeHistogram();
  TimeHistogram(const TimeHistogram& other);
  TimeHistogram& operator=(const TimeHistogram&) = delete;
  ~TimeHistogram();

  void Observe(double seconds);

  std::uint64_t count() const { return count_; }
  double sum() const { return sum_; }
  /// Upper bound of each bin and the observations up to it; the last bound is
  /// infinite.
  struct Bin {
    double upper = 0;
    std::uint64_t cumulative = 0;
  };
  std::vector<Bin> bins() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
  std::uint64_t count_ = 0;
  double sum_ = 0;
};

/// All metrics of one thread. Series are created at their first use and kept,
/// so callers may hold references. Beyond `max_series` label sets of one
/// metric, all further ones share the series whose values are "other": labels
/// that callers can choose, such as team names, must not fill the memory.
class MetricRegistry {
 public:
  explicit MetricRegistry(std::size_t max_series = 512);
  ~MetricRegistry();
  MetricRegistry(const MetricRegistry&) = delete;
  MetricRegistry& operator=(const MetricRegistry&) = delete;

  /// Names are [a-z_]+; a name belongs to the kind of its first use, and a
  /// use as another kind gets a series that is not exposed.
  Counter& counter(std::string_view name, std::string_view help,
                   const MetricLabels& labels = {});
  Gauge& gauge(std::string_view name, std::string_view help,
               const MetricLabels& labels = {});
  TimeHistogram& histogram(std::string_view name, std::string_view help,
                           const MetricLabels& labels = {});

  /// A copy that another thread may read while this registry goes on.
  std::shared_ptr<const MetricRegistry> Snapshot() const;

  /// Text exposition format of Prometheus, version 0.0.4; metrics and label
  /// sets are in the order of their names.
  std::string Text() const;

 private:
  struct Family;
  class Impl;
  explicit MetricRegistry(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace pomelomill
