#pragma once

#include <cstdint>
#include <functional>

#include "pomelomill/base/timer_service.h"
#include "pomelomill/jobserver/platform_hooks.h"

namespace pomelomill {

/// The link of one entry: carries all its calls in their order, and all the
/// answers to it, at a limited rate. A call that its sender has given up is
/// carried and carried out all the same, since its bytes wait in the sender's
/// buffers.
class EntryLink {
 public:
  /// `client` are the timers of the entry's process; both must outlive the
  /// calls. `base` never pauses.
  EntryLink(TimerService& base, TimerService& client)
      : base_(base), client_(client) {}
  EntryLink(const EntryLink&) = delete;
  EntryLink& operator=(const EntryLink&) = delete;

  /// Bytes a second in each direction; 0 for no limit.
  void SetRate(std::uint64_t rate) { rate_ = rate; }

  /// `hooks` with the calls to the store, the workers and the VMs carried by
  /// this link. These must run their callbacks on `base`.
  PlatformHooks Wrap(const PlatformHooks& hooks);

 private:
  struct Direction {
    Instant free_at{};
  };

  void Carry(Direction& direction, std::uint64_t bytes,
             std::function<void()> then);
  /// Runs `done` once on the client's timers: with an answer that the link has
  /// carried, or with `unanswered` after `timeout`.
  template <typename T>
  std::function<void(T, std::uint64_t bytes)> Expect(
      Duration timeout, T unanswered, std::function<void(T)> done);

  TransactionClient WrapStore(const TransactionClient& store);
  StoreClient WrapLeases(const StoreClient& leases);
  WorkerCalls WrapWorkers(const WorkerCalls& workers);
  FleetCalls WrapFleet(const FleetCalls& fleet);

  TimerService& base_;
  TimerService& client_;
  std::uint64_t rate_ = 0;
  Direction out_;
  Direction in_;
};

}  // namespace pomelomill
