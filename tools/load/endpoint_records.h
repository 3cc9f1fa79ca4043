#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "load_run.h"
#include "pomelomill/config.h"

namespace pomelomill::load {

/// How often each request id was run, from the endpoints' own records (lines
/// "ID KEY TARGET STATE").
std::map<std::string, int> CountRuns(const std::vector<std::string>& records);

/// Results of one queue, checked against the endpoints' records.
struct QueueReport {
  std::uint64_t sent = 0;
  std::uint64_t answered_whole = 0;
  std::uint64_t answered_other = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t broken = 0;
  std::uint64_t wrong = 0;
  /// Requests that must run at most once and ran more often.
  std::uint64_t duplicated = 0;
  /// Told "not run", but an endpoint ran it.
  std::uint64_t false_not_run = 0;
  /// Answered whole, but no endpoint ran it.
  std::uint64_t answered_without_run = 0;
  /// Answered whole within the deadline of the queue.
  std::uint64_t in_time = 0;
  /// Requests that may miss their deadline in one window of the budget: of
  /// the declared rate, or of the requests sent when these are more.
  std::uint64_t budget = 0;
  /// Responses that are not whole, by the reason that the entry gave.
  std::map<std::string, std::uint64_t> reasons;
  Duration p50{};
  Duration p99{};
};

/// `declarations` gives the deadlines and budgets; a queue that it does not
/// declare has no deadline and no budget.
std::map<std::string, QueueReport> Compare(
    const std::map<std::string, CallRecord>& calls,
    const std::map<std::string, int>& runs, const Declarations& declarations);

}  // namespace pomelomill::load
