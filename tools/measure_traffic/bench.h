#pragma once

#include <cstdint>
#include <string>

#include "pomelomill/base.h"

namespace pomelomill::measure {

struct BenchResult {
  std::uint64_t answered = 0;
  std::uint64_t failed = 0;
  double seconds = 0;
  Duration p50{};
  Duration p99{};
};

/// Sends requests to `url` from `concurrency` callers that each wait for the
/// response before the next request, for `duration`.
BenchResult RunClosedLoop(const std::string& url, int concurrency,
                          Duration duration);

}  // namespace pomelomill::measure
