#include "endpoint_records.h"

#include <algorithm>
#include <sstream>

namespace pomelomill::load {
namespace {

Duration Quantile(std::vector<Duration>& values, double q) {
  if (values.empty()) return Duration(0);
  const auto at =
      values.begin() +
      static_cast<std::ptrdiff_t>(q * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), at, values.end());
  return *at;
}

Duration DeadlineOf(const std::string& queue,
                    const Declarations& declarations) {
  const auto it = declarations.queues.find(QueueId(queue));
  return it == declarations.queues.end() ? Duration::max()
                                         : it->second.deadline;
}

}  // namespace

std::map<std::string, int> CountRuns(const std::vector<std::string>& records) {
  std::map<std::string, int> runs;
  for (const std::string& text : records) {
    std::istringstream lines(text);
    std::string id;
    std::string key;
    std::string target;
    std::string state;
    while (lines >> id >> key >> target >> state) ++runs[id];
  }
  return runs;
}

std::map<std::string, QueueReport> Compare(
    const std::map<std::string, CallRecord>& calls,
    const std::map<std::string, int>& runs, const Declarations& declarations) {
  std::map<std::string, QueueReport> reports;
  std::map<std::string, std::vector<Duration>> latencies;
  for (const auto& [id, call] : calls) {
    QueueReport& it = reports[call.queue];
    ++it.sent;
    const auto found = runs.find(id);
    const int count = found == runs.end() ? 0 : found->second;
    if (call.is_order && count > 1) ++it.duplicated;
    if (call.result != CallResult::kAnsweredWhole) ++it.reasons[call.reason];
    switch (call.result) {
      case CallResult::kAnsweredWhole:
        ++it.answered_whole;
        if (call.latency <= DeadlineOf(call.queue, declarations)) ++it.in_time;
        if (count == 0) ++it.answered_without_run;
        latencies[call.queue].push_back(call.latency);
        break;
      case CallResult::kAnsweredOther:
        ++it.answered_other;
        break;
      case CallResult::kWrong:
        ++it.wrong;
        break;
      case CallResult::kNotRun:
        ++it.not_run;
        if (count > 0) ++it.false_not_run;
        break;
      case CallResult::kUnknown:
        ++it.unknown;
        break;
      case CallResult::kBroken:
        ++it.broken;
        break;
    }
  }
  for (auto& [queue, it] : reports) {
    const auto declared = declarations.queues.find(QueueId(queue));
    if (declared != declarations.queues.end()) {
      const QueueDeclaration& q = declared->second;
      const double asked = std::max(static_cast<double>(it.sent),
                                    q.mean_rate * ToSeconds(q.window));
      it.budget = static_cast<std::uint64_t>((1 - q.availability) * asked);
    }
    it.p50 = Quantile(latencies[queue], 0.5);
    it.p99 = Quantile(latencies[queue], 0.99);
  }
  return reports;
}

}  // namespace pomelomill::load
