#include "pomelomill/jobs/size_book.h"

#include <algorithm>
#include <cmath>

namespace pomelomill {
namespace {

// A task with too few cores runs slower; one with too little memory fails, so
// that memory uses the highest of the samples.
constexpr double kCoresQuantile = 0.9;
constexpr double kMemoryQuantile = 0.98;
constexpr double kRunTimeQuantile = 0.75;
// Below these a task would not get any processor time or memory at all.
constexpr double kMinCores = 0.05;
constexpr double kMinMemoryMb = 16;
constexpr double kOutOfMemoryGrowth = 2;
// A tenth of the window and the prior.
constexpr int kMaxOutOfMemorySamples = 4;

Duration FromSeconds(double s) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
}

// Rounds up to a whole step. Samples are floats and shares of sums; a
// hundredth of a step is far above their error and must not cost a step.
double RoundUp(double value, double step) {
  return std::ceil(value / step - 0.01) * step;
}

}  // namespace

void SizeBook::Declare(const JobClassDeclaration& job_class) {
  const auto [it, is_new] = classes_.try_emplace(job_class.id);
  ClassEstimate& e = it->second;
  if (is_new) {
    e.cores = QuantileEstimate(job_class.cores, kCoresQuantile);
    e.memory_mb = QuantileEstimate(job_class.memory_mb, kMemoryQuantile);
    e.run_s = QuantileEstimate(ToSeconds(job_class.run_time), kRunTimeQuantile);
  }
  e.accelerators = job_class.accelerators;
}

Resources SizeBook::Size(const std::string& job_class) const {
  const auto it = classes_.find(job_class);
  if (it == classes_.end()) return {};
  const ClassEstimate& e = it->second;
  return {std::max(kMinCores, RoundUp(e.cores.value(), 0.01)),
          std::max(kMinMemoryMb, RoundUp(e.memory_mb.value(), 1)),
          e.accelerators};
}

Duration SizeBook::RunTime(const std::string& job_class) const {
  const auto it = classes_.find(job_class);
  return it == classes_.end() ? Duration(0)
                              : FromSeconds(it->second.run_s.value());
}

void SizeBook::AddUsage(const std::string& job_class, const Resources& peak) {
  const auto it = classes_.find(job_class);
  if (it == classes_.end()) return;
  it->second.cores.Add(peak.cores);
  it->second.memory_mb.Add(peak.memory_mb);
}

void SizeBook::AddRunTime(const std::string& job_class, Duration run_time) {
  const auto it = classes_.find(job_class);
  if (it != classes_.end()) it->second.run_s.Add(ToSeconds(run_time));
}

void SizeBook::AddOutOfMemory(const std::string& job_class,
                              const Resources& limit) {
  const auto it = classes_.find(job_class);
  if (it == classes_.end()) return;
  QuantileEstimate& memory = it->second.memory_mb;
  const double wanted = limit.memory_mb * kOutOfMemoryGrowth;
  // A failed attempt is certain knowledge, not one sample among others: as
  // many samples are added as it takes to move the quantile.
  for (int i = 0; i < kMaxOutOfMemorySamples && memory.value() < wanted; ++i)
    memory.Add(wanted);
}

void SizeBook::AddWorkerUsage(const std::vector<std::string>& job_classes,
                              const Resources& usage) {
  Resources sum;
  for (const std::string& it : job_classes) {
    const Resources size = Size(it);
    sum.cores += size.cores;
    sum.memory_mb += size.memory_mb;
  }
  if (sum.cores <= 0 || sum.memory_mb <= 0) return;
  std::vector<Resources> shares;
  shares.reserve(job_classes.size());
  for (const std::string& it : job_classes) {
    const Resources size = Size(it);
    shares.push_back({usage.cores * size.cores / sum.cores,
                      usage.memory_mb * size.memory_mb / sum.memory_mb, 0});
  }
  for (std::size_t i = 0; i < job_classes.size(); ++i)
    AddUsage(job_classes[i], shares[i]);
}

void SizeBook::Restore(const std::string& job_class, const Resources& size,
                       Duration run_time) {
  const auto it = classes_.find(job_class);
  if (it == classes_.end()) return;
  it->second.cores.SetPrior(size.cores);
  it->second.memory_mb.SetPrior(size.memory_mb);
  it->second.run_s.SetPrior(ToSeconds(run_time));
}

}  // namespace pomelomill
