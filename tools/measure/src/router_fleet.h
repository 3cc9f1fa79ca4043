#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <unordered_map>
#include <vector>

#include "pomelomill/base/random.h"
#include "pomelomill/routing.h"

namespace pomelomill::measure {

/// What a VM does with an attempt that reaches it now.
struct VmAnswer {
  enum class Kind { kTakes, kRefuses, kUnreachable, kSilent };
  Kind kind = Kind::kTakes;
  /// Index of the VM, and its present run: a VM that was lost or restarted
  /// does not answer attempts of earlier runs.
  int vm = 0;
  int run = 0;
  bool is_draining = false;
  Generation generation;
};

/// How the model of the VMs is reached.
struct RouterFleetHooks {
  std::function<VmAnswer(const VmId&)> reach;
  std::function<int(int vm)> run_of;
  /// Seconds that the request occupies a slot.
  std::function<double(int request)> service_s;
  std::function<void(int vm)> on_begin;
  std::function<void(int vm)> on_end;
  std::function<void(int request, bool is_in_time, OutcomeReason reason)>
      on_response;
};

/// The data plane of the product in virtual time: one `Router` for each entry,
/// with the slots of every VM shared between them. Requests arrive at random
/// entries, as behind a load balancer. The entries exchange no load reports.
class RouterFleet {
 public:
  RouterFleet(const std::shared_ptr<const Declarations>& declarations,
              int entries, std::uint64_t seed, RouterFleetHooks hooks);

  void Arrive(int request, const QueueId& queue, double deadline_s,
              bool is_repeatable, double now_s);
  /// Every entry acts on this state from now on.
  void SetState(const RegionState& state, double now_s);
  /// Requests that have no response yet.
  std::size_t open_requests() const { return deadlines_.size(); }
  /// Time of the next event; infinite when there is none.
  double next_at() const;
  /// Runs the events that are due at `now_s`.
  void RunDue(double now_s);

 private:
  enum class EventKind { kEnd, kGiveUp, kProbe, kWake };
  struct Event {
    double at = 0;
    std::uint64_t sequence = 0;
    EventKind kind = EventKind::kWake;
    int entry = 0;
    AttemptId attempt;
    VmId vm;

    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };
  struct Attempt {
    int vm = 0;
    int run = 0;
    double give_up_s = 0;
    bool is_reported = false;
  };
  struct Entry {
    Router router;
    std::unordered_map<AttemptId, Attempt> attempts;
    double wake_s = -1;
  };

  void Handle(int entry, const RouterEvent& event, double now_s);
  void Send(int entry, const SendAttempt& send, double now_s);
  void Run(const Event& event);
  void Report(int entry, AttemptId attempt, AttemptResult result,
              bool was_any_byte_sent, double now_s);
  void Push(double at, EventKind kind, int entry, AttemptId attempt, VmId vm);

  RouterFleetHooks hooks_;
  Random random_;
  std::vector<Entry> entries_;
  std::vector<EntryShare> shares_;
  std::priority_queue<Event> events_;
  std::unordered_map<RequestId, double> deadlines_;
  std::uint64_t next_event_ = 0;
  std::uint64_t version_ = 0;
};

}  // namespace pomelomill::measure
