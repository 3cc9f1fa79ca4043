#include "slot_simulation.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace pomelomill::measure {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEntries = 8;
constexpr int kVms = 9;
constexpr std::uint32_t kSlots = 8;
constexpr int kQueues = 5;
constexpr Duration kService = milliseconds(100);
constexpr Duration kRun = seconds(60);
constexpr Duration kPeak = seconds(5);
constexpr double kPeakFactor = 5;
constexpr double kRestFactor = 0.05;
// One way, between an entry and an endpoint or a peer.
constexpr Duration kHop = milliseconds(1);
constexpr Duration kReport = milliseconds(500);
constexpr Duration kLoanRound = milliseconds(50);
constexpr Duration kLoan = milliseconds(500);
// Drift of clocks and time on the way. A request that outlasts its loan may
// meet a full endpoint, which refuses it.
constexpr Duration kLoanMargin = milliseconds(100);

/// Prefix and number in one name.
std::string Name(const char* prefix, int n) {
  std::string name(prefix);
  name += std::to_string(n);
  return name;
}

class Simulation {
 public:
  explicit Simulation(const SlotSetting& setting)
      : setting_(setting), random_(setting.seed) {
    // At a peak one queue sends kPeakFactor times the mean, one rests and the
    // others send the mean.
    const double units = kPeakFactor + kRestFactor + (kQueues - 2);
    const double capacity = kVms * kSlots / ToSeconds(kService);
    mean_rate_ = setting.peak_load * capacity / units;
    const int routers =
        setting.option == SlotOption::kOneGranter ? 1 : kEntries;
    const auto declarations = MakeDeclarations();
    const auto region = MakeRegion(routers);
    for (int i = 0; i < routers; ++i) {
      RouterOptions options;
      options.entry = EntryId(Name("e", i));
      options.incarnation = IncarnationId("i");
      options.seed = setting.seed * 100 + static_cast<std::uint64_t>(i);
      options.slot_policy = setting.option == SlotOption::kPeerReports
                                ? SlotPolicy::kPeerReports
                                : SlotPolicy::kShare;
      routers_.push_back(std::make_unique<Router>(options));
      wakes_.push_back(0);
      Feed(i, DeclarationsChanged{declarations});
      Feed(i, RegionStateChanged{region, Version(1)});
      Feed(i, SendPermitChanged{Instant::max()});
    }
  }

  SlotResult Run() {
    for (int q = 0; q < kQueues; ++q) ScheduleArrival(q);
    if (routers_.size() > 1) Exchange();
    if (setting_.option == SlotOption::kShareWithLoans) LendSlots();
    timers_.Advance(kRun + seconds(10));
    return std::move(result_);
  }

 private:
  struct Call {
    Instant arrived{};
    Instant deadline{};
    std::map<AttemptId, Instant> started;
  };

  static std::shared_ptr<const Declarations> MakeDeclarations() {
    auto it = std::make_shared<Declarations>();
    PoolDeclaration pool;
    pool.id = PoolId("main");
    pool.slots = kSlots;
    it->pools[pool.id] = pool;
    it->services[ServiceId("s")] = {
        .id = ServiceId("s"), .pool = pool.id, .title = "s"};
    for (int q = 0; q < kQueues; ++q) {
      QueueDeclaration queue;
      queue.id = QueueId(Name("s/", q));
      queue.service = ServiceId("s");
      queue.service_time = kService;
      it->queues[queue.id] = queue;
    }
    return it;
  }

  static std::shared_ptr<const RegionState> MakeRegion(int entries) {
    auto it = std::make_shared<RegionState>();
    for (int i = 0; i < kVms; ++i) {
      VmState vm;
      vm.pool = PoolId("main");
      vm.generation = Generation(1);
      it->vms[VmId(Name("vm-", i))] = vm;
    }
    for (int i = 0; i < entries; ++i) {
      it->shares.push_back({EntryId(Name("e", i)), IncarnationId("i"), 1});
    }
    return it;
  }

  double RateOf(int queue) const {
    const auto turn =
        static_cast<int>(timers_.Now().time_since_epoch() / kPeak);
    if (turn % kQueues == queue) return mean_rate_ * kPeakFactor;
    if (turn > 0 && (turn - 1) % kQueues == queue) {
      return mean_rate_ * kRestFactor;
    }
    return mean_rate_;
  }

  void ScheduleArrival(int queue) {
    const double s = random_.Exponential(1 / RateOf(queue));
    const bool is_cut = s > 0.5;
    timers_.ScheduleAfter(is_cut ? Duration(milliseconds(500))
                                 : Duration(static_cast<std::int64_t>(s * 1e9)),
                          [this, queue, is_cut] {
                            if (timers_.Now().time_since_epoch() >= kRun)
                              return;
                            if (!is_cut) Arrive(queue);
                            ScheduleArrival(queue);
                          });
  }

  void Arrive(int queue) {
    const RequestId id(next_++);
    const Instant now = timers_.Now();
    calls_[id] = {.arrived = now, .deadline = now + seconds(2)};
    ++result_.asked;
    RequestArrived event{.request = id,
                         .queue = QueueId(Name("s/", queue)),
                         .deadline = now + seconds(2)};
    if (setting_.option == SlotOption::kOneGranter) {
      timers_.ScheduleAfter(kHop, [this, event] { Feed(0, event); });
      return;
    }
    Feed(static_cast<int>(random_.Below(kEntries)), event);
  }

  void Feed(int router, const RouterEvent& event) {
    Router& it = *routers_[static_cast<std::size_t>(router)];
    for (const RouterAction& action : it.Handle(event, timers_.Now())) {
      std::visit([&](const auto& a) { Carry(router, a); }, action);
    }
  }

  void Carry(int router, const SendAttempt& action) {
    ++result_.sends;
    timers_.ScheduleAfter(kHop, [this, router, action] {
      std::uint32_t& active = active_[action.vm];
      if (active >= kSlots) {
        ++result_.refusals;
        return Finish(router, action, AttemptResult::kRefused);
      }
      ++active;
      calls_[action.request].started[action.attempt] = timers_.Now();
      const double s = random_.Exponential(ToSeconds(kService));
      timers_.ScheduleAfter(Duration(static_cast<std::int64_t>(s * 1e9)),
                            [this, router, action] {
                              --active_[action.vm];
                              Finish(router, action, AttemptResult::kAnswered);
                            });
    });
  }

  void Finish(int router, const SendAttempt& action, AttemptResult result) {
    timers_.ScheduleAfter(kHop, [this, router, action, result] {
      Feed(router, AttemptFinished{action.attempt, result, true});
    });
  }

  void Carry(int /*router*/, const Respond& action) {
    const Call& call = calls_.at(action.request);
    if (action.outcome == Outcome::kNotRun) ++result_.not_run;
    if (action.outcome == Outcome::kUnknown) ++result_.unknown;
    if (action.outcome == Outcome::kAnswered &&
        timers_.Now() <= call.deadline) {
      ++result_.answered_in_time;
      result_.waits.push_back(call.started.at(action.attempt) - call.arrived);
    }
  }

  static void Carry(int /*router*/, const DropResponse& /*action*/) {}

  void Carry(int router, const ProbeEndpoint& action) {
    timers_.ScheduleAfter(2 * kHop, [this, router, vm = action.vm] {
      Feed(router, ProbeFinished{vm, true, false, Generation(1)});
    });
  }

  void Carry(int router, const WakeAt& action) {
    TimerId& wake = wakes_[static_cast<std::size_t>(router)];
    timers_.Cancel(wake);
    wake = timers_.ScheduleAt(action.when,
                              [this, router] { Feed(router, TimerTick{}); });
  }

  /// Each entry reports to all others once per round (with at most nine
  /// entries and four peers a round, a report is two rounds old at most).
  void Exchange() {
    for (int from = 0; from < kEntries; ++from) {
      const LoadReport report =
          routers_[static_cast<std::size_t>(from)]->Report(timers_.Now());
      for (int to = 0; to < kEntries; ++to) {
        if (to == from) continue;
        timers_.ScheduleAfter(
            kHop, [this, to, report] { Feed(to, PeerLoadReceived{report}); });
      }
    }
    timers_.ScheduleAfter(kReport, [this] {
      if (timers_.Now().time_since_epoch() < kRun) Exchange();
    });
  }

  /// An entry with waiting requests borrows free slots, one of each endpoint
  /// at most, from peers without waiting requests.
  void LendSlots() {
    const Instant now = timers_.Now();
    std::vector<LoadReport> loads;
    for (const auto& it : routers_) loads.push_back(it->Report(now));
    const PoolId pool("main");
    for (int to = 0; to < kEntries; ++to) {
      std::uint32_t wanted =
          loads[static_cast<std::size_t>(to)].pools[pool].queued;
      for (int from = 0; from < kEntries && wanted > 0; ++from) {
        if (from == to ||
            loads[static_cast<std::size_t>(from)].pools[pool].queued > 0) {
          continue;
        }
        wanted -= Lend(from, to, wanted);
      }
    }
    timers_.ScheduleAfter(kLoanRound, [this] {
      if (timers_.Now().time_since_epoch() < kRun) LendSlots();
    });
  }

  std::uint32_t Lend(int from, int to, std::uint32_t wanted) {
    const Instant now = timers_.Now();
    const EndpointSet& lender =
        routers_[static_cast<std::size_t>(from)]->endpoints();
    std::uint32_t lent = 0;
    for (int i = 0; i < kVms && lent < wanted; ++i) {
      const VmId vm(Name("vm-", i));
      if (lender.Limit(vm, now) <= lender.in_flight(vm)) continue;
      const std::uint64_t loan = next_loan_++;
      // The lender counts the loan longer than the borrower, so that both
      // never use the slot at once.
      Feed(from, SlotLoanChanged{loan, vm, -1, now + kLoan + kLoanMargin});
      timers_.ScheduleAfter(2 * kHop, [this, to, loan, vm, now] {
        Feed(to, SlotLoanChanged{loan, vm, 1, now + kLoan});
      });
      ++lent;
    }
    return lent;
  }

  SlotSetting setting_;
  Random random_;
  double mean_rate_ = 0;
  VirtualTimerService timers_;
  std::vector<std::unique_ptr<Router>> routers_;
  std::vector<TimerId> wakes_;
  std::map<VmId, std::uint32_t> active_;
  std::map<RequestId, Call> calls_;
  std::uint64_t next_ = 1;
  std::uint64_t next_loan_ = 1;
  SlotResult result_;
};

}  // namespace

SlotResult Simulate(const SlotSetting& setting) {
  return Simulation(setting).Run();
}

}  // namespace pomelomill::measure
