#include "router_fleet.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

namespace pomelomill::measure {
namespace {

// A round trip within a region, both directions and the endpoint's accept.
constexpr double kRoundTripS = 0.002;
// The time after which a probe of a silent VM counts as failed.
constexpr double kProbeTimeoutS = 1;
// In place of the run of a VM, for attempts that no VM has begun.
constexpr int kRefused = -1;
constexpr int kUnreached = -2;

/// Rounded, so that a wake-up is not early by a nanosecond and asked for again
/// without end.
Instant At(double seconds) {
  return Instant(Duration(std::llround(seconds * 1e9)));
}

double SecondsOf(Instant at) { return ToSeconds(at.time_since_epoch()); }

}  // namespace

RouterFleet::RouterFleet(
    const std::shared_ptr<const Declarations>& declarations, int entries,
    std::uint64_t seed, RouterFleetHooks hooks)
    : hooks_(std::move(hooks)), random_(seed) {
  entries_.reserve(static_cast<std::size_t>(entries));
  for (int i = 0; i < entries; ++i) {
    const std::string name = "entry-" + std::to_string(i);
    RouterOptions options;
    options.entry = EntryId(name);
    options.incarnation = IncarnationId(name + "-1");
    options.seed = random_.Next();
    shares_.push_back({options.entry, options.incarnation, 1});
    entries_.push_back({Router(options), {}, -1});
  }
  for (int i = 0; i < entries; ++i) {
    Handle(i, DeclarationsChanged{declarations}, 0);
    Handle(i, SendPermitChanged{Instant::max()}, 0);
  }
}

void RouterFleet::Arrive(int request, const QueueId& queue, double deadline_s,
                         bool is_repeatable, double now_s) {
  RequestArrived event;
  event.request = RequestId(static_cast<std::uint64_t>(request) + 1);
  event.queue = queue;
  event.deadline = At(deadline_s);
  event.is_repeatable = is_repeatable;
  deadlines_[event.request] = deadline_s;
  Handle(static_cast<int>(random_.Below(entries_.size())), event, now_s);
}

void RouterFleet::SetState(const RegionState& state, double now_s) {
  auto copy = std::make_shared<RegionState>(state);
  copy->shares = shares_;
  const std::shared_ptr<const RegionState> table = std::move(copy);
  ++version_;
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    Handle(static_cast<int>(i), RegionStateChanged{table, Version(version_)},
           now_s);
  }
}

double RouterFleet::next_at() const {
  return events_.empty() ? std::numeric_limits<double>::infinity()
                         : events_.top().at;
}

void RouterFleet::RunDue(double now_s) {
  while (!events_.empty() && events_.top().at <= now_s) {
    const Event event = events_.top();
    events_.pop();
    Run(event);
  }
}

void RouterFleet::Push(double at, EventKind kind, int entry, AttemptId attempt,
                       VmId vm) {
  events_.push({at, next_event_++, kind, entry, attempt, std::move(vm)});
}

void RouterFleet::Handle(int entry, const RouterEvent& event, double now_s) {
  Entry& it = entries_[entry];
  for (const RouterAction& action : it.router.Handle(event, At(now_s))) {
    std::visit(
        [&](const auto& act) {
          using T = std::decay_t<decltype(act)>;
          if constexpr (std::is_same_v<T, SendAttempt>) {
            Send(entry, act, now_s);
          } else if constexpr (std::is_same_v<T, Respond>) {
            const auto deadline = deadlines_.find(act.request);
            hooks_.on_response(
                static_cast<int>(act.request.value()) - 1,
                act.outcome == Outcome::kAnswered && now_s <= deadline->second,
                act.reason);
            deadlines_.erase(deadline);
          } else if constexpr (std::is_same_v<T, ProbeEndpoint>) {
            const bool is_silent =
                hooks_.reach(act.vm).kind == VmAnswer::Kind::kSilent;
            Push(now_s + (is_silent ? kProbeTimeoutS : kRoundTripS),
                 EventKind::kProbe, entry, {}, act.vm);
          } else if constexpr (std::is_same_v<T, WakeAt>) {
            if (act.when == Instant::max()) return;
            it.wake_s = std::max(now_s, SecondsOf(act.when));
            Push(it.wake_s, EventKind::kWake, entry, {}, VmId());
          }
        },
        action);
  }
}

void RouterFleet::Send(int entry, const SendAttempt& send, double now_s) {
  const VmAnswer answer = hooks_.reach(send.vm);
  Attempt attempt{answer.vm, answer.run, SecondsOf(send.abort_at), false};
  const double service =
      hooks_.service_s(static_cast<int>(send.request.value()) - 1);
  switch (answer.kind) {
    case VmAnswer::Kind::kTakes:
      hooks_.on_begin(answer.vm);
      Push(now_s + service, EventKind::kEnd, entry, send.attempt, send.vm);
      if (attempt.give_up_s < now_s + service)
        Push(attempt.give_up_s, EventKind::kGiveUp, entry, send.attempt,
             send.vm);
      break;
    case VmAnswer::Kind::kRefuses:
    case VmAnswer::Kind::kUnreachable:
      Push(now_s + kRoundTripS, EventKind::kGiveUp, entry, send.attempt,
           send.vm);
      break;
    case VmAnswer::Kind::kSilent:
      Push(std::max(now_s, attempt.give_up_s), EventKind::kGiveUp, entry,
           send.attempt, send.vm);
      break;
  }
  if (answer.kind == VmAnswer::Kind::kRefuses) attempt.run = kRefused;
  if (answer.kind == VmAnswer::Kind::kUnreachable) attempt.run = kUnreached;
  entries_[entry].attempts.emplace(send.attempt, attempt);
}

void RouterFleet::Report(int entry, AttemptId attempt, AttemptResult result,
                         bool was_any_byte_sent, double now_s) {
  AttemptFinished event;
  event.attempt = attempt;
  event.result = result;
  event.was_any_byte_sent = was_any_byte_sent;
  Handle(entry, event, now_s);
}

void RouterFleet::Run(const Event& event) {
  Entry& entry = entries_[event.entry];
  switch (event.kind) {
    case EventKind::kWake:
      if (event.at == entry.wake_s) Handle(event.entry, TimerTick{}, event.at);
      return;
    case EventKind::kProbe: {
      const VmAnswer answer = hooks_.reach(event.vm);
      ProbeFinished probe;
      probe.vm = event.vm;
      probe.is_healthy = answer.kind == VmAnswer::Kind::kTakes ||
                         answer.kind == VmAnswer::Kind::kRefuses;
      probe.is_draining = answer.is_draining;
      probe.generation = answer.generation;
      Handle(event.entry, probe, event.at);
      return;
    }
    case EventKind::kGiveUp: {
      const auto found = entry.attempts.find(event.attempt);
      if (found == entry.attempts.end() || found->second.is_reported) return;
      found->second.is_reported = true;
      const int run = found->second.run;
      // The end of an attempt that a VM works on comes as an event of its own.
      if (run < 0) entry.attempts.erase(found);
      Report(event.entry, event.attempt,
             run == kRefused ? AttemptResult::kRefused : AttemptResult::kFailed,
             run != kUnreached, event.at);
      return;
    }
    case EventKind::kEnd: {
      const auto found = entry.attempts.find(event.attempt);
      if (found == entry.attempts.end()) return;
      const Attempt attempt = found->second;
      if (hooks_.run_of(attempt.vm) == attempt.run) {
        entry.attempts.erase(found);
        hooks_.on_end(attempt.vm);
        if (!attempt.is_reported)
          Report(event.entry, event.attempt, AttemptResult::kAnswered, true,
                 event.at);
      } else if (!attempt.is_reported) {
        // The VM was lost: nothing comes until the entry breaks off.
        Push(std::max(event.at, attempt.give_up_s), EventKind::kGiveUp,
             event.entry, event.attempt, event.vm);
      }
      return;
    }
  }
}

}  // namespace pomelomill::measure
