#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "pomelomill/base/result.h"
#include "pomelomill/base/timer_service.h"
#include "pomelomill/store/call_counter.h"
#include "pomelomill/store/store_client.h"

namespace pomelomill {

struct StoreModelOptions {
  /// Calls a second; 0 means no limit. A burst of a quarter of a second is
  /// allowed. Puts, erases and calls on leases count as writes.
  double writes_per_s = 400;
  double reads_per_s = 2'000;
};

/// State of the key-value service of section 4 of the design, without network
/// and latency. A delete raises the version of its key like a write. A watch
/// reports only versions that carry a value.
class StoreModel {
 public:
  using WatchCallback = std::function<void(Result<StoreItem>)>;

  StoreModel(TimerService& timers, const StoreModelOptions& options);
  ~StoreModel();
  StoreModel(const StoreModel&) = delete;
  StoreModel& operator=(const StoreModel&) = delete;

  Result<StoreItem> Get(const std::string& key);
  /// kLeaseLapsed when the lease does not exist.
  Result<Version> Put(const std::string& key, const std::string& value,
                      Version expect, const LeaseId& lease);
  Result<Version> Erase(const std::string& key, Version expect);
  /// Runs `done` at once when there is a version above `after`, otherwise
  /// with the next one, or with version 0 after `wait`.
  void Watch(const std::string& key, Version after, Duration wait,
             WatchCallback done);
  Result<std::vector<StoreItem>> Range(const std::string& prefix);
  Result<LeaseId> Grant(Duration ttl);
  Result<LeaseId> Renew(const LeaseId& lease);
  /// Revoking a lease that does not exist succeeds.
  Result<LeaseId> Revoke(const LeaseId& lease);

  /// While down, calls and waiting watches end with kUnavailable. Leases go
  /// on to expire.
  void set_down(bool is_down);
  void set_options(const StoreModelOptions& options) { options_ = options; }

  /// Time to live that the lease was granted with; 0 when it does not exist.
  Duration ttl(const LeaseId& lease) const;
  /// Current version of a key; 0 when it does not exist.
  Version version(const std::string& key) const;
  const CallCounter& counter() const { return counter_; }
  std::size_t waiting_watches() const { return waiters_.size(); }

 private:
  struct Entry {
    std::string value;
    Version version;
    LeaseId lease;
    bool exists = false;
  };
  struct Lease {
    Duration ttl{};
    TimerId timer = 0;
  };
  struct Waiter {
    std::string key;
    Version after;
    WatchCallback done;
    TimerId timer = 0;
  };
  struct Bucket {
    double tokens = 0;
    Instant at{};
    bool is_started = false;
  };

  std::error_code Refusal(StoreCallKind kind);
  template <typename T>
  Result<T> Counted(StoreCallKind kind, const std::function<Result<T>()>& run);
  Version Apply(const std::string& key, std::string value, const LeaseId& lease,
                bool exists);
  void Expire(const LeaseId& lease);
  TimerId ExpiryTimer(const LeaseId& lease, Duration ttl);

  TimerService& timers_;
  StoreModelOptions options_;
  bool is_down_ = false;
  Bucket writes_;
  Bucket reads_;
  CallCounter counter_;
  std::map<std::string, Entry> entries_;
  std::map<LeaseId, Lease> leases_;
  std::list<Waiter> waiters_;
  std::uint64_t next_lease_ = 1;
};

}  // namespace pomelomill
