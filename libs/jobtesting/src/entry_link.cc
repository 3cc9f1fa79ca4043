#include "pomelomill/jobtesting/entry_link.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "pomelomill/store/store_error.h"

namespace pomelomill {
namespace {

/// As in the platform's adapter.
constexpr Duration kOrderTimeout = std::chrono::milliseconds(800);
constexpr Duration kVmTimeout = std::chrono::milliseconds(1500);
constexpr Duration kWatchSlack = std::chrono::milliseconds(700);
/// Head of a request or an answer.
constexpr std::uint64_t kHeadBytes = 300;
constexpr std::uint64_t kRowBytes = 60;

std::uint64_t SizeOf(const StoredKey& it) {
  return kRowBytes + it.key.size() + it.value.size();
}

std::uint64_t SizeOf(const Transaction& transaction) {
  std::uint64_t bytes = kHeadBytes + kRowBytes * transaction.size();
  for (const auto& it : transaction.writes) bytes += it.value.size();
  return bytes;
}

std::uint64_t SizeOf(const Result<PrefixRead>& read) {
  std::uint64_t bytes = kHeadBytes;
  if (!read) return bytes;
  for (const StoredKey& it : read->items) bytes += SizeOf(it);
  return bytes;
}

std::uint64_t SizeOf(const Result<WorkerReport>& report) {
  if (!report) return kHeadBytes;
  return kHeadBytes +
         kRowBytes * (report->running.size() + report->ended.size());
}

}  // namespace

void EntryLink::Carry(Direction& direction, std::uint64_t bytes,
                      std::function<void()> then) {
  const Instant now = base_.Now();
  if (rate_ == 0 && direction.free_at <= now) return then();
  const auto time =
      rate_ == 0
          ? Duration(0)
          : std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
                static_cast<double>(bytes) / static_cast<double>(rate_)));
  direction.free_at = std::max(direction.free_at, now) + time;
  base_.ScheduleAt(direction.free_at, std::move(then));
}

template <typename T>
std::function<void(T, std::uint64_t)> EntryLink::Expect(
    Duration timeout, T unanswered, std::function<void(T)> done) {
  auto shared = std::make_shared<std::function<void(T)>>(std::move(done));
  const auto finish = [this, shared](T answer) {
    client_.ScheduleAfter(Duration(0), [shared, answer = std::move(answer)] {
      if (!*shared) return;
      const auto call = std::exchange(*shared, nullptr);
      call(answer);
    });
  };
  client_.ScheduleAfter(timeout, [finish, unanswered] { finish(unanswered); });
  return [this, finish](T answer, std::uint64_t bytes) {
    Carry(in_, bytes, [finish, answer = std::move(answer)] { finish(answer); });
  };
}

PlatformHooks EntryLink::Wrap(const PlatformHooks& hooks) {
  PlatformHooks wrapped = hooks;
  wrapped.store = WrapStore(hooks.store);
  wrapped.leases = WrapLeases(hooks.leases);
  wrapped.workers = WrapWorkers(hooks.workers);
  wrapped.fleet = WrapFleet(hooks.fleet);
  return wrapped;
}

TransactionClient EntryLink::WrapStore(const TransactionClient& store) {
  using Read = Result<StoredKey>;
  using Prefix = Result<PrefixRead>;
  using Commit = Result<CommitResult>;
  TransactionClient client;
  client.read = [this, store](const std::string& key, Duration timeout,
                              StoreCallback<StoredKey> done) {
    const auto answer = Expect<Read>(
        timeout, Unexpected(StoreError::kUnavailable), std::move(done));
    Carry(out_, kHeadBytes, [store, key, timeout, answer] {
      store.read(key, timeout, [answer](const Read& it) {
        answer(it, kHeadBytes + (it ? SizeOf(*it) : 0));
      });
    });
  };
  client.read_prefix = [this, store](const std::string& prefix,
                                     Duration timeout,
                                     StoreCallback<PrefixRead> done) {
    const auto answer = Expect<Prefix>(
        timeout, Unexpected(StoreError::kUnavailable), std::move(done));
    Carry(out_, kHeadBytes, [store, prefix, timeout, answer] {
      store.read_prefix(prefix, timeout,
                        [answer](const Prefix& it) { answer(it, SizeOf(it)); });
    });
  };
  client.watch_prefix = [this, store](const std::string& prefix, Version after,
                                      Duration wait,
                                      StoreCallback<PrefixRead> done) {
    const auto answer =
        Expect<Prefix>(wait + kWatchSlack, Unexpected(StoreError::kUnavailable),
                       std::move(done));
    Carry(out_, kHeadBytes, [store, prefix, after, wait, answer] {
      store.watch_prefix(prefix, after, wait, [answer](const Prefix& it) {
        answer(it, SizeOf(it));
      });
    });
  };
  client.commit = [this, store](const Transaction& transaction,
                                Duration timeout,
                                StoreCallback<CommitResult> done) {
    const auto answer = Expect<Commit>(
        timeout, Unexpected(StoreError::kOutcomeUnknown), std::move(done));
    Carry(out_, SizeOf(transaction), [store, transaction, timeout, answer] {
      store.commit(transaction, timeout,
                   [answer](const Commit& it) { answer(it, kHeadBytes); });
    });
  };
  return client;
}

StoreClient EntryLink::WrapLeases(const StoreClient& leases) {
  using Answer = Result<LeaseId>;
  StoreClient client;
  client.grant_lease = [this, leases](Duration ttl, Duration timeout,
                                      StoreCallback<LeaseId> done) {
    const auto answer = Expect<Answer>(
        timeout, Unexpected(StoreError::kOutcomeUnknown), std::move(done));
    Carry(out_, kHeadBytes, [leases, ttl, timeout, answer] {
      leases.grant_lease(
          ttl, timeout, [answer](const Answer& it) { answer(it, kHeadBytes); });
    });
  };
  const auto wrap = [this](const auto& call) {
    return [this, call](const LeaseId& lease, Duration timeout,
                        StoreCallback<LeaseId> done) {
      const auto answer = Expect<Answer>(
          timeout, Unexpected(StoreError::kOutcomeUnknown), std::move(done));
      Carry(out_, kHeadBytes, [call, lease, timeout, answer] {
        call(lease, timeout,
             [answer](const Answer& it) { answer(it, kHeadBytes); });
      });
    };
  };
  client.renew_lease = wrap(leases.renew_lease);
  client.revoke_lease = wrap(leases.revoke_lease);
  return client;
}

WorkerCalls EntryLink::WrapWorkers(const WorkerCalls& workers) {
  using Clock = Result<std::int64_t>;
  using Report = Result<WorkerReport>;
  WorkerCalls calls;
  calls.start = [this, workers](const WorkerAddress& address,
                                const StartRequest& call,
                                std::function<void(StartResponse)> done) {
    const auto answer = Expect<StartResponse>(
        kOrderTimeout, {StartOutcome::kUnknown, 0}, std::move(done));
    const std::uint64_t bytes =
        kHeadBytes + (call.payload == nullptr ? 0 : call.payload->size());
    StartRequest copy = call;
    copy.payload = nullptr;
    Carry(out_, bytes, [workers, address, copy, answer] {
      workers.start(address, copy,
                    [answer](StartResponse it) { answer(it, kHeadBytes); });
    });
  };
  calls.stop = [this, workers](const WorkerAddress& address, const TaskKey& key,
                               std::uint32_t run, FencingToken token,
                               std::function<void(Clock)> done) {
    const auto answer = Expect<Clock>(
        kOrderTimeout, Unexpected(WorkerError::kNoResponse), std::move(done));
    Carry(out_, kHeadBytes, [workers, address, key, run, token, answer] {
      workers.stop(address, key, run, token,
                   [answer](const Clock& it) { answer(it, kHeadBytes); });
    });
  };
  calls.renew = [this, workers](const WorkerAddress& address,
                                const RenewRequest& call,
                                std::function<void(Report)> done) {
    const auto answer =
        Expect<Report>(kOrderTimeout + call.max_wait,
                       Unexpected(WorkerError::kNoResponse), std::move(done));
    Carry(out_, kHeadBytes, [workers, address, call, answer] {
      workers.renew(address, call,
                    [answer](const Report& it) { answer(it, SizeOf(it)); });
    });
  };
  return calls;
}

FleetCalls EntryLink::WrapFleet(const FleetCalls& fleet) {
  using Vms = Result<std::vector<FleetVm>>;
  using Outcome = Result<VmCallOutcome>;
  FleetCalls calls;
  calls.list = [this, fleet](std::function<void(Vms)> done) {
    const auto answer = Expect<Vms>(
        kVmTimeout, Unexpected(WorkerError::kNoResponse), std::move(done));
    Carry(out_, kHeadBytes, [fleet, answer] {
      fleet.list([answer](const Vms& it) {
        answer(it, kHeadBytes + (it ? kRowBytes * it->size() : 0));
      });
    });
  };
  calls.maintain = [this, fleet](const VmId& vm, const WaveId& wave,
                                 const EntryId& holder, FencingToken token,
                                 std::function<void(Outcome)> done) {
    const auto answer =
        Expect<Outcome>(kVmTimeout, VmCallOutcome::kUnknown, std::move(done));
    Carry(out_, kHeadBytes, [fleet, vm, wave, holder, token, answer] {
      fleet.maintain(vm, wave, holder, token,
                     [answer](const Outcome& it) { answer(it, kHeadBytes); });
    });
  };
  calls.move = [this, fleet](const VmId& vm, const PoolId& to,
                             const EntryId& holder, FencingToken token,
                             std::function<void(Outcome)> done) {
    const auto answer =
        Expect<Outcome>(kVmTimeout, VmCallOutcome::kUnknown, std::move(done));
    Carry(out_, kHeadBytes, [fleet, vm, to, holder, token, answer] {
      fleet.move(vm, to, holder, token,
                 [answer](const Outcome& it) { answer(it, kHeadBytes); });
    });
  };
  return calls;
}

}  // namespace pomelomill
