#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "pomelomill/base.h"
#include "pomelomill/routing/key_issuer.h"
#include "pomelomill/store.h"

namespace pomelomill {

struct KeyClaimsOptions {
  IncarnationId incarnation;
  /// Duration of the store lease that claims are attached to. A lease is used
  /// for new claims during its first half, so a claim is kept for at least
  /// half of this duration.
  Duration lease_duration = std::chrono::hours(2);
  /// Timeout of one store call.
  Duration call_timeout = std::chrono::milliseconds(500);
  /// Maximum number of concurrent claim attempts; bounds memory and the load on
  /// the store.
  std::size_t max_pending = 256;
};

/// Result of an attempt to claim a key.
enum class ClaimState {
  /// This entry owns the key: send the request, then call Finish().
  kMayRun,
  /// The key was claimed before; see the outcome if there is one.
  kAlreadyClaimed,
  /// The claim could not be made or verified; the request must not run.
  kUnavailable,
};

struct ClaimResult {
  ClaimState state = ClaimState::kUnavailable;
  /// For kAlreadyClaimed: the outcome of the first request, once it has ended
  /// and its outcome is stored.
  std::optional<KeyOutcome> outcome;
};

/// Runs requests with caller-chosen idempotency keys at most once. A key is
/// claimed by creating `claims/KEY` in the store before the first byte of the
/// request is sent. Not thread-safe: use it on the thread that runs the store's
/// callbacks.
class KeyClaims {
 public:
  KeyClaims(StoreClient& store, TimerService& timers, KeyClaimsOptions options);
  ~KeyClaims();

  /// Claims the key. The callback runs exactly once, possibly before Claim()
  /// returns.
  void Claim(const std::string& key, std::function<void(ClaimResult)> callback);

  /// Ends a request whose claim was kMayRun. If the request was not run, the
  /// claim is removed; otherwise the outcome is stored in the claim. The store
  /// is called once without retry: after a failed call the key stays claimed
  /// without an outcome.
  void Finish(const std::string& key, KeyOutcome outcome);

  /// Returns the number of claims that are being made or whose request has not
  /// ended.
  std::size_t open_claims() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
