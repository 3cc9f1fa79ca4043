#include "pomelomill/metrics/metric_registry.h"

#include <boost/histogram.hpp>
#include <cmath>
#include <cstdio>
#include <limits>
#include <utility>

namespace pomelomill {
namespace {

namespace bh = boost::histogram;

constexpr unsigned kBins = 24;
constexpr double kLowest = 0.001;
constexpr double kHighest = 64;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;

/// One axis for all histograms: it is constant and larger than the counts.
const Axis& TimeAxis() {
  static const Axis axis(kBins, kLowest, kHighest);
  return axis;
}

std::string Number(double value) {
  if (std::isinf(value)) return value > 0 ? "+Inf" : "-Inf";
  if (std::isnan(value)) return "NaN";
  char text[32];
  std::snprintf(text, sizeof text, "%.10g", value);
  return text;
}

/// Backslash, line feed and, in label values, double quote are escaped.
std::string Escaped(std::string_view text, bool is_label) {
  std::string escaped;
  for (const char c : text) {
    if (c == '\n') {
      escaped += "\\n";
      continue;
    }
    if (c == '\\' || (is_label && c == '"')) escaped += '\\';
    escaped += c;
  }
  return escaped;
}

std::string LabelText(const MetricLabels& labels, const std::string& extra) {
  std::string text;
  for (const MetricLabel& label : labels) {
    if (!text.empty()) text += ',';
    text += label.name + "=\"" + Escaped(label.value, true) + '"';
  }
  if (!extra.empty()) text += (text.empty() ? "" : ",") + extra;
  return text.empty() ? text : '{' + text + '}';
}

}  // namespace

class TimeHistogram::Impl {
 public:
  using Counts = decltype(bh::make_histogram_with(std::vector<std::uint32_t>(),
                                                  std::declval<const Axis&>()));
  Counts counts =
      bh::make_histogram_with(std::vector<std::uint32_t>(), TimeAxis());
};

TimeHistogram::TimeHistogram() : impl_(std::make_unique<Impl>()) {}
TimeHistogram::TimeHistogram(const TimeHistogram& other)
    : impl_(std::make_unique<Impl>(*other.impl_)),
      count_(other.count_),
      sum_(other.sum_) {}
TimeHistogram::~TimeHistogram() = default;

void TimeHistogram::Observe(double seconds) {
  // Not a number or negative: a fault of the caller that must not spoil sums.
  if (!(seconds >= 0)) return;
  impl_->counts(seconds);
  ++count_;
  sum_ += seconds;
}

std::vector<TimeHistogram::Bin> TimeHistogram::bins() const {
  std::vector<Bin> bins;
  std::uint64_t cumulative = impl_->counts.at(-1);
  bins.push_back({kLowest, cumulative});
  for (unsigned i = 0; i < kBins; ++i) {
    cumulative += impl_->counts.at(static_cast<int>(i));
    bins.push_back({TimeAxis().bin(static_cast<int>(i)).upper(), cumulative});
  }
  bins.push_back({std::numeric_limits<double>::infinity(), count_});
  return bins;
}

struct MetricRegistry::Family {
  enum class Kind { kCounter, kGauge, kHistogram };
  Kind kind = Kind::kCounter;
  std::string help;
  std::map<MetricLabels, Counter> counters;
  std::map<MetricLabels, Gauge> gauges;
  std::map<MetricLabels, TimeHistogram> histograms;
};

class MetricRegistry::Impl {
 public:
  explicit Impl(std::size_t max_series) : max_series_(max_series) {}

  template <typename Series>
  Series& Find(std::string_view name, std::string_view help,
               const MetricLabels& labels, Family::Kind kind,
               std::map<MetricLabels, Series> Family::*series) {
    auto it = families_.find(name);
    if (it == families_.end()) {
      it = families_.emplace(std::string(name), Family{}).first;
      it->second.kind = kind;
      it->second.help = help;
    }
    Family& family = it->second;
    auto& all = family.*series;
    if (const auto found = all.find(labels); found != all.end()) {
      return found->second;
    }
    if (all.size() < max_series_) return all[labels];
    MetricLabels other = labels;
    for (MetricLabel& label : other) label.value = "other";
    return all[other];
  }

  std::string Text() const {
    std::string text;
    for (const auto& [name, family] : families_) {
      constexpr const char* kKinds[] = {"counter", "gauge", "histogram"};
      text += "# HELP " + name + ' ' + Escaped(family.help, false) + '\n';
      text +=
          "# TYPE " + name + ' ' + kKinds[static_cast<int>(family.kind)] + '\n';
      if (family.kind == Family::Kind::kCounter) {
        AppendValues(name, family.counters, &text);
      } else if (family.kind == Family::Kind::kGauge) {
        AppendValues(name, family.gauges, &text);
      } else {
        AppendHistograms(name, family.histograms, &text);
      }
    }
    return text;
  }

 private:
  template <typename Series>
  static void AppendValues(const std::string& name, const Series& series,
                           std::string* text) {
    for (const auto& [labels, value] : series) {
      *text +=
          name + LabelText(labels, "") + ' ' + Number(value.value()) + '\n';
    }
  }

  static void AppendHistograms(
      const std::string& name,
      const std::map<MetricLabels, TimeHistogram>& series, std::string* text) {
    for (const auto& [labels, histogram] : series) {
      for (const TimeHistogram::Bin& bin : histogram.bins()) {
        *text += name + "_bucket" +
                 LabelText(labels, "le=\"" + Number(bin.upper) + '"') + ' ' +
                 std::to_string(bin.cumulative) + '\n';
      }
      *text += name + "_sum" + LabelText(labels, "") + ' ' +
               Number(histogram.sum()) + '\n';
      *text += name + "_count" + LabelText(labels, "") + ' ' +
               std::to_string(histogram.count()) + '\n';
    }
  }

  std::size_t max_series_;
  std::map<std::string, Family, std::less<>> families_;
};

MetricRegistry::MetricRegistry(std::size_t max_series)
    : impl_(std::make_unique<Impl>(max_series)) {}
MetricRegistry::MetricRegistry(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}
MetricRegistry::~MetricRegistry() = default;

Counter& MetricRegistry::counter(std::string_view name, std::string_view help,
                                 const MetricLabels& labels) {
  return impl_->Find(name, help, labels, Family::Kind::kCounter,
                     &Family::counters);
}

Gauge& MetricRegistry::gauge(std::string_view name, std::string_view help,
                             const MetricLabels& labels) {
  return impl_->Find(name, help, labels, Family::Kind::kGauge, &Family::gauges);
}

TimeHistogram& MetricRegistry::histogram(std::string_view name,
                                         std::string_view help,
                                         const MetricLabels& labels) {
  return impl_->Find(name, help, labels, Family::Kind::kHistogram,
                     &Family::histograms);
}

std::shared_ptr<const MetricRegistry> MetricRegistry::Snapshot() const {
  return std::shared_ptr<const MetricRegistry>(
      new MetricRegistry(std::make_unique<Impl>(*impl_)));
}

std::string MetricRegistry::Text() const { return impl_->Text(); }

}  // namespace pomelomill
