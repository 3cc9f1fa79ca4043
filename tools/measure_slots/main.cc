// Compares the slot options of section 9 of the design page in virtual time
// with fixed seeds: waiting time and refusals at five-fold peaks.

#include <algorithm>
#include <cstdio>

#include "slot_simulation.h"

namespace {

using pomelomill::Duration;
using pomelomill::ToSeconds;
using pomelomill::measure::Simulate;
using pomelomill::measure::SlotOption;
using pomelomill::measure::SlotResult;

constexpr std::uint64_t kSeeds = 2;

double Quantile(std::vector<Duration>& values, double q) {
  if (values.empty()) return 0;
  const auto at =
      values.begin() +
      static_cast<std::ptrdiff_t>(q * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), at, values.end());
  return ToSeconds(*at) * 1e3;
}

void Report(const char* name, SlotOption option, double load) {
  SlotResult sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const SlotResult it =
        Simulate({.option = option, .peak_load = load, .seed = seed});
    sum.asked += it.asked;
    sum.answered_in_time += it.answered_in_time;
    sum.not_run += it.not_run;
    sum.unknown += it.unknown;
    sum.refusals += it.refusals;
    sum.sends += it.sends;
    sum.waits.insert(sum.waits.end(), it.waits.begin(), it.waits.end());
  }
  double mean = 0;
  for (const Duration it : sum.waits) mean += ToSeconds(it) * 1e3;
  if (!sum.waits.empty()) mean /= static_cast<double>(sum.waits.size());
  const auto share = [&](std::uint64_t n) {
    return 100.0 * static_cast<double>(n) / static_cast<double>(sum.asked);
  };
  std::printf(
      "%4.2f  %-18s %8.2f %8.2f %8.2f %9.3f%% %9.3f%% %9.3f%% %9.3f%%\n", load,
      name, mean, Quantile(sum.waits, 0.5), Quantile(sum.waits, 0.99),
      share(sum.answered_in_time), share(sum.not_run), share(sum.unknown),
      share(sum.refusals));
}

}  // namespace

int main() {
  std::printf("seeds 1 to %d\n", static_cast<int>(kSeeds));
  std::printf("%-4s  %-18s %8s %8s %8s %10s %10s %10s %10s\n", "load", "option",
              "mean ms", "p50 ms", "p99 ms", "in time", "not run", "unknown",
              "refused");
  for (const double load : {0.8, 1.0, 1.2}) {
    Report("(a) peer reports", SlotOption::kPeerReports, load);
    Report("(b) shares", SlotOption::kShare, load);
    Report("(b) with loans", SlotOption::kShareWithLoans, load);
    Report("(c) one granter", SlotOption::kOneGranter, load);
  }
  return 0;
}
