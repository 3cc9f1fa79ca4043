#include "pomelomill/traffic/request_metrics.h"

#include <string>

namespace pomelomill {
namespace {

constexpr const char* kOtherLabel = "other";
constexpr const char* kNoTeamLabel = "none";

constexpr std::array<const char*, 4> kOutcomeNames = {"answered", "not-run",
                                                      "unknown", "cancelled"};
constexpr std::size_t kCancelled = 3;

/// Label values of OutcomeReason followed by those of EarlyEndReason.
constexpr std::array<const char*, 14> kReasonNames = {"complete",
                                                      "no_such_queue",
                                                      "quota",
                                                      "queue_full",
                                                      "would_miss_deadline",
                                                      "no_endpoint",
                                                      "no_send_permit",
                                                      "refused",
                                                      "attempt_failed",
                                                      "deadline_passed",
                                                      "bad_request",
                                                      "stopping",
                                                      "key",
                                                      "cancelled"};
constexpr std::size_t kFirstEarlyEndReason = 10;
static_assert(static_cast<std::size_t>(OutcomeReason::kDeadlinePassed) + 1 ==
              kFirstEarlyEndReason);
static_assert(kFirstEarlyEndReason +
                  static_cast<std::size_t>(EarlyEndReason::kCancelled) + 1 ==
              kReasonNames.size());

}  // namespace

RequestMetrics::RequestMetrics()
    : registry_((kMaxPairs + 1) * Series::kOutcomes * Series::kReasons) {}

RequestMetrics::Series& RequestMetrics::SeriesFor(
    const QueueId& queue, const TeamId& team,
    const Declarations& declarations) {
  const bool is_queue = declarations.queues.contains(queue);
  std::pair<QueueId, TeamId> pair(
      is_queue ? queue : QueueId(kOtherLabel),
      declarations.teams.contains(team)
          ? team
          : TeamId(team.empty() ? kNoTeamLabel : kOtherLabel));
  auto found = series_.find(pair);
  if (found != series_.end()) return found->second;
  if (series_.size() >= kMaxPairs)
    pair = {QueueId(kOtherLabel), TeamId(kOtherLabel)};
  found = series_
              .emplace(pair, Series(registry_, pair.first.value(),
                                    pair.second.value()))
              .first;
  return found->second;
}

RequestMetrics::Series::Series(MetricRegistry& registry, std::string queue,
                               std::string team)
    : registry_(registry),
      queue_(std::move(queue)),
      team_(std::move(team)),
      seconds_(registry.histogram(
          "pomelomill_request_seconds",
          "Time from arrival to the endpoint's complete response",
          {{"queue", queue_}, {"team", team_}})) {}

void RequestMetrics::Series::RecordEnd(Outcome outcome, OutcomeReason reason,
                                       Duration duration) {
  Count(static_cast<std::size_t>(outcome), static_cast<std::size_t>(reason));
  if (outcome == Outcome::kAnswered) seconds_.Observe(ToSeconds(duration));
}

void RequestMetrics::Series::RecordEarlyEnd(std::optional<Outcome> outcome,
                                            EarlyEndReason reason) {
  Count(outcome ? static_cast<std::size_t>(*outcome) : kCancelled,
        kFirstEarlyEndReason + static_cast<std::size_t>(reason));
}

void RequestMetrics::Series::Count(std::size_t outcome, std::size_t reason) {
  Counter*& counter = counters_[outcome][reason];
  if (counter == nullptr) {
    counter = &registry_.counter("pomelomill_requests_total",
                                 "Requests by what their callers were told",
                                 {{"queue", queue_},
                                  {"team", team_},
                                  {"outcome", kOutcomeNames[outcome]},
                                  {"reason", kReasonNames[reason]}});
  }
  counter->Add();
}

}  // namespace pomelomill
