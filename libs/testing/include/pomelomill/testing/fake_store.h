#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pomelomill/store/store_client.h"
#include "pomelomill/testing/call_transport.h"

namespace pomelomill::testing {

enum class StoreCall {
  kGet,
  kPut,
  kErase,
  kWatch,
  kRange,
  kGrantLease,
  kRenewLease,
  kRevokeLease,
};

/// Lower-case name of the call, such as "grant-lease".
std::string StoreCallName(StoreCall call);

/// One write that took effect.
struct StoreWrite {
  Instant at;
  /// Process that made the write; empty for a lapsed lease or the test.
  std::string process;
  std::string key;
  std::string value;
  Version version;
  LeaseId lease;
  bool is_erase = false;
};

/// One lease from grant to end, by the store's clock.
struct StoreLease {
  LeaseId id;
  std::string process;
  Duration ttl{};
  Instant granted;
  Instant expires;
  /// Set once it has lapsed or was revoked.
  std::optional<Instant> ended;
};

/// One call that arrived at the store.
struct StoreArrival {
  Instant at;
  std::string process;
  StoreCall call = StoreCall::kGet;
  std::string key;
  /// Zero when the call succeeded; of a watch, when it began to wait.
  std::error_code outcome;
};

/// The key-value service of section 4 in memory. Its own clock is the time of
/// the world. A delete counts as a write of its key and raises the version; a
/// watch reports only versions that carry a value.
class FakeStore {
 public:
  using StepName = std::function<std::string(StoreCall, const std::string&)>;

  explicit FakeStore(VirtualTimerService& world,
                     FaultInjector* injector = nullptr);

  /// Hooks for one process. `step_name` names the step of a call on a key;
  /// by default "store.CALL".
  StoreClient ClientFor(FakeProcess& process, StepName step_name = {});

  /// All calls are refused with kUnavailable, waiting watches too.
  void set_down(bool is_down);
  /// No request arrives; callers run into their timeouts.
  void set_unreachable(bool is_unreachable) {
    is_unreachable_ = is_unreachable;
  }
  /// One-way latency; beyond the callers' timeouts for a slow store.
  void set_latency(Duration latency) { transport_.latency = latency; }
  /// Calls a second beyond which calls are refused; 0 for no limit.
  void set_rate_limit(double calls_per_s) { rate_limit_ = calls_per_s; }
  /// Responses to watches are held back by this much more.
  void set_watch_delay(Duration delay) { watch_delay_ = delay; }
  /// Reads return the value before the latest write while this is set.
  void set_stale_reads(bool is_stale) { is_stale_ = is_stale; }
  CallTransport& transport() { return transport_; }

  /// Writes as another client would, without conditions.
  Version Write(const std::string& key, std::string value);
  /// The current item; version 0 when there is none.
  StoreItem Read(const std::string& key) const;
  void EndLease(const LeaseId& lease);

  const std::vector<StoreWrite>& writes() const { return writes_; }
  /// Writes of one key, oldest first.
  std::vector<StoreWrite> WritesOf(const std::string& key) const;
  const std::map<LeaseId, StoreLease>& leases() const { return leases_; }
  const std::vector<StoreArrival>& arrivals() const { return arrivals_; }
  /// Calls that arrived; a waiting watch counts as one.
  std::uint64_t calls() const { return arrivals_.size(); }
  std::uint64_t CallsOf(StoreCall call) const;

 private:
  struct Entry {
    std::string value;
    Version version;
    LeaseId lease;
    bool exists = false;
    /// The value before the latest write, for stale reads.
    std::string stale_value;
    Version stale_version;
    bool has_stale = false;
  };
  struct Waiter {
    std::string key;
    Version after;
    std::function<void(Result<StoreItem>)> respond;
    TimerId timer = 0;
  };

  std::optional<std::error_code> Refusal();
  void Note(const std::string& process, StoreCall call, const std::string& key,
            std::error_code outcome = {});
  Version Apply(const std::string& process, const std::string& key,
                std::string value, const LeaseId& lease, bool is_erase);
  Result<StoreItem> DoGet(const std::string& key, bool is_stale) const;
  Result<Version> DoPut(const std::string& process, const std::string& key,
                        const std::string& value, Version expect,
                        const LeaseId& lease);
  Result<Version> DoErase(const std::string& process, const std::string& key,
                          Version expect);
  void DoWatch(const std::string& key, Version after, Duration wait,
               Duration delay, std::function<void(Result<StoreItem>)> respond);
  Result<std::vector<StoreItem>> DoRange(const std::string& prefix,
                                         bool is_stale) const;
  Result<LeaseId> DoGrant(const std::string& process, Duration ttl);
  Result<LeaseId> DoRenew(const LeaseId& lease);
  void ExpireAt(const LeaseId& lease);

  VirtualTimerService& world_;
  CallTransport transport_;
  bool is_down_ = false;
  bool is_unreachable_ = false;
  bool is_stale_ = false;
  double rate_limit_ = 0;
  double tokens_ = 0;
  Instant tokens_at_;
  Duration watch_delay_{0};
  std::uint64_t next_lease_ = 1;
  std::map<std::string, Entry> entries_;
  std::map<LeaseId, StoreLease> leases_;
  std::list<Waiter> waiters_;
  std::vector<StoreWrite> writes_;
  std::vector<StoreArrival> arrivals_;
};

}  // namespace pomelomill::testing
