#include <utility>

#include "pomelomill/jobtesting/fake_workers.h"

namespace pomelomill {
namespace {

constexpr Duration kLatency = std::chrono::milliseconds(1);
constexpr Duration kCallTimeout = std::chrono::milliseconds(800);
constexpr Duration kPollStep = std::chrono::milliseconds(20);

}  // namespace

void FakeWorkers::Watch(const WorkerAddress& address, RenewRequest call,
                        std::uint64_t life, Instant until,
                        std::function<void(Result<WorkerReport>)> answer) {
  const auto it = workers_.find(address.address);
  const bool is_other_life =
      it != workers_.end() && life != 0 && it->second.life + 1 != life;
  if (it != workers_.end() &&
      (IsSilent(it->second) ||
       (is_other_life && it->second.has_silent_connections))) {
    timers_.ScheduleAt(until + kCallTimeout, [answer = std::move(answer)] {
      answer(Unexpected(WorkerError::kNoResponse));
    });
    return;
  }
  if (it == workers_.end() || !it->second.is_up)
    return answer(Unexpected(WorkerError::kProcessEnded));
  // The connection of a waiting call ends with the process.
  if (is_other_life) return answer(Unexpected(WorkerError::kNoResponse));
  if (it->second.is_closing)
    return answer(Unexpected(WorkerError::kConnectionEnded));
  auto report = Renew(it->second, call, false);
  const bool is_over =
      !report || !report->ended.empty() || timers_.Now() >= until;
  if (is_over) return answer(std::move(report));
  call.deadline_ms.reset();
  timers_.ScheduleAfter(
      kPollStep, [this, address, call, until, waited_for = it->second.life + 1,
                  answer = std::move(answer)] {
        Watch(address, call, waited_for, until, answer);
      });
}

void FakeWorkers::CarryOutUnanswered(
    const WorkerAddress& address, Duration longest_delay,
    std::function<void(Worker&, bool is_late)> call) {
  const auto target = workers_.find(address.address);
  if (target == workers_.end()) return;
  const std::uint64_t fate = random_.Below(3);
  if (fate == 0) return;
  const bool is_late = fate == 1;
  const Duration delay =
      is_late
          ? std::chrono::duration_cast<Duration>(longest_delay * random_.Unit())
          : Duration(0);
  timers_.ScheduleAfter(kLatency + delay,
                        [this, address, is_late, call = std::move(call),
                         life = target->second.life] {
                          Worker& it = workers_.at(address.address);
                          if (!it.is_up || (it.life != life && !is_late))
                            return;
                          late_orders_in_next_life_ += it.life != life;
                          ++carried_out_unanswered_;
                          call(it, is_late);
                        });
}

WorkerCalls FakeWorkers::Calls(TimerService& client_timers,
                               const WorkerFaults& faults) {
  TimerService* const timers = &client_timers;
  const WorkerFaults* const fault = &faults;
  const auto is_cut = [this, fault](const WorkerAddress& address) {
    const auto it = workers_.find(address.address);
    return fault->is_cut || (it != workers_.end() && it->second.is_cut);
  };
  const auto fails = [this, fault] {
    return fault->unsent_share > 0 && random_.Chance(fault->unsent_share);
  };
  const auto ends = [this, fault] {
    return fault->ended_share > 0 && random_.Chance(fault->ended_share);
  };
  const auto is_refusing = [this](const WorkerAddress& address) {
    const auto it = workers_.find(address.address);
    return it != workers_.end() && it->second.is_refusing;
  };
  const auto is_closing = [this](const WorkerAddress& address) {
    const auto it = workers_.find(address.address);
    return it != workers_.end() && it->second.is_closing;
  };
  /// Runs `order` there, with its answer or without one.
  const auto send =
      [=, this](const WorkerAddress& address,
                std::function<std::function<void()>(Worker&, bool)> order,
                std::function<void()> unanswered, std::function<void()> ended,
                std::function<void()> refused) {
        const auto target = workers_.find(address.address);
        if (is_cut(address) ||
            (target != workers_.end() && IsSilent(target->second))) {
          timers->ScheduleAfter(kCallTimeout, std::move(unanswered));
          return;
        }
        const std::uint64_t life =
            target == workers_.end() ? 0 : target->second.life;
        if ((target != workers_.end() && !target->second.is_up) ||
            is_refusing(address) || is_closing(address) || fails()) {
          timers->ScheduleAfter(kLatency, std::move(refused));
          return;
        }
        if (ends()) {
          timers->ScheduleAfter(2 * kLatency, std::move(ended));
          CarryOutUnanswered(address, fault->late, std::move(order));
          return;
        }
        const bool is_late = random_.Chance(fault->late_share);
        if (is_late) timers->ScheduleAfter(kCallTimeout, std::move(unanswered));
        timers_.ScheduleAfter(
            kLatency + (is_late ? fault->late : Duration(0)),
            [=, this, order = std::move(order), refused = std::move(refused)] {
              const auto it = workers_.find(address.address);
              // The id that a late order names is that of both incarnations.
              if (it == workers_.end() || !it->second.is_up ||
                  (it->second.life != life && !is_late)) {
                if (!is_late) timers->ScheduleAfter(kLatency, refused);
                return;
              }
              if (it->second.life != life) ++late_orders_in_next_life_;
              auto answer = order(it->second, is_late);
              if (!is_late) timers->ScheduleAfter(kLatency, std::move(answer));
            });
      };
  WorkerCalls calls;
  calls.start = [=, this](const WorkerAddress& address,
                          const StartRequest& call,
                          const std::function<void(StartResponse)>& done) {
    StartRequest copy = call;
    copy.payload = nullptr;
    send(
        address,
        [this, copy, done, fault](Worker& worker,
                                  bool is_late) -> std::function<void()> {
          const auto rejection =
              is_late ? std::nullopt
                      : RejectSome(worker, copy, fault->rejected_share);
          const StartResponse answer =
              rejection ? *rejection : Start(worker, copy, is_late);
          return [done, answer] { done(answer); };
        },
        [done] {
          done({StartOutcome::kUnknown, 0});
        },
        [done] {
          done({StartOutcome::kUnknown, 0, true});
        },
        [done] {
          done({StartOutcome::kNotSent, 0});
        });
  };
  calls.stop = [=, this](
                   const WorkerAddress& address, const TaskKey& key,
                   std::uint32_t run, FencingToken token,
                   const std::function<void(Result<std::int64_t>)>& done) {
    send(
        address,
        [this, key, run, token, done](Worker& worker,
                                      bool is_late) -> std::function<void()> {
          const auto answer = Stop(worker, key, run, token, is_late);
          return [done, answer] { done(answer); };
        },
        [done] { done(Unexpected(WorkerError::kNoResponse)); },
        [done] { done(Unexpected(WorkerError::kConnectionEnded)); },
        [done] { done(Unexpected(WorkerError::kProcessEnded)); });
  };
  calls.renew = [=, this](
                    const WorkerAddress& address, const RenewRequest& call,
                    const std::function<void(Result<WorkerReport>)>& done) {
    if (is_cut(address)) {
      timers->ScheduleAfter(kCallTimeout + call.max_wait, [done] {
        done(Unexpected(WorkerError::kNoResponse));
      });
      return;
    }
    if (is_refusing(address)) {
      timers->ScheduleAfter(kLatency, [done] {
        done(Unexpected(WorkerError::kConnectionRefused));
      });
      return;
    }
    if (is_closing(address)) {
      timers->ScheduleAfter(
          kLatency, [done] { done(Unexpected(WorkerError::kProcessEnded)); });
      return;
    }
    if (fails()) {
      timers->ScheduleAfter(
          kLatency, [done] { done(Unexpected(WorkerError::kNotSent)); });
      return;
    }
    const auto renew_late = [this, call](Worker& worker, bool is_late) {
      Renew(worker, call, is_late);
    };
    const bool has_ended = ends();
    if (has_ended && random_.Chance(0.5)) {
      timers->ScheduleAfter(2 * kLatency, [done] {
        done(Unexpected(WorkerError::kConnectionEnded));
      });
      return CarryOutUnanswered(address, fault->late, renew_late);
    }
    if (fault->late_renewal_share > 0 &&
        random_.Chance(fault->late_renewal_share)) {
      timers->ScheduleAfter(kCallTimeout + call.max_wait, [done] {
        done(Unexpected(WorkerError::kNoResponse));
      });
      timers_.ScheduleAfter(kLatency + fault->late, [=, this] {
        const auto it = workers_.find(address.address);
        if (it != workers_.end() && it->second.is_up)
          renew_late(it->second, true);
      });
      return;
    }
    timers_.ScheduleAfter(kLatency, [=, this] {
      Watch(address, call, 0, timers_.Now() + call.max_wait,
            [=](const Result<WorkerReport>& report) {
              if (has_ended) {
                timers->ScheduleAfter(kLatency, [done] {
                  done(Unexpected(WorkerError::kConnectionEnded));
                });
                return;
              }
              if (is_refusing(address)) {
                return done(Unexpected(WorkerError::kNoResponse));
              }
              // A cut that began meanwhile swallows the answer.
              if (is_cut(address)) {
                timers->ScheduleAfter(kCallTimeout, [done] {
                  done(Unexpected(WorkerError::kNoResponse));
                });
                return;
              }
              timers->ScheduleAfter(kLatency, [done, report] { done(report); });
            });
    });
  };
  return calls;
}

}  // namespace pomelomill
