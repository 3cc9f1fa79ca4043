#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "pomelomill/base.h"
#include "pomelomill/routing/actions.h"

namespace pomelomill {

/// Outcome of a request with an idempotency key.
struct KeyOutcome {
  Outcome outcome = Outcome::kUnknown;
  /// HTTP status of the response to the caller.
  int status = 0;

  bool operator==(const KeyOutcome&) const = default;
};

/// What Begin() knows about a key.
enum class KeyState {
  /// The request may run now; report its end by Finish().
  kMayRun,
  /// A request with this key is in progress.
  kRunning,
  /// A request with this key has ended and its outcome is still recorded.
  kDone,
  /// The key was issued, but it is no longer recorded whether it ran. It is
  /// never run again.
  kExpired,
  /// Malformed or not issued by this incarnation.
  kNotIssuedHere,
  /// Too many requests with keys are in progress.
  kTooManyRunning,
};

struct KeyDecision {
  KeyState state = KeyState::kNotIssuedHere;
  /// For kDone.
  KeyOutcome outcome;
};

struct KeyIssuerOptions {
  /// Maximum number of recorded keys, running or ended.
  std::size_t max_records = 100'000;
  /// Retention period of an outcome.
  Duration record_ttl = std::chrono::minutes(15);
};

/// Issues idempotency keys and runs the request of each key at most once. A key
/// consists of the incarnation, so that no other run of the process accepts it,
/// and a counter. Every counter below the next one counts as issued, which
/// needs neither memory per key nor the store.
class KeyIssuer {
 public:
  explicit KeyIssuer(IncarnationId incarnation, KeyIssuerOptions options = {});

  std::vector<std::string> Issue(std::size_t count);

  /// Starts a request with this key if the returned state is kMayRun.
  KeyDecision Begin(std::string_view key, Instant now);

  /// Ends a request that Begin() started. A request that was not run releases
  /// its key, which may then be used again.
  void Finish(std::string_view key, KeyOutcome outcome, Instant now);

  /// Returns the number of recorded keys.
  std::size_t records() const { return records_.size(); }

  /// Returns the incarnation in a key of the issued format; none for other
  /// keys.
  static std::optional<IncarnationId> IncarnationOf(std::string_view key);

 private:
  struct Record {
    bool is_running = true;
    KeyOutcome outcome;
  };

  std::optional<std::uint64_t> CounterOf(std::string_view key) const;
  /// Removes outcomes that are older than the retention period or exceed the
  /// maximum number of records, oldest first.
  void EvictRecords(Instant now);

  IncarnationId incarnation_;
  KeyIssuerOptions options_;
  std::uint64_t next_counter_ = 1;
  /// Keys with a counter below this one and without a record never run again.
  std::uint64_t min_unexpired_counter_ = 1;
  /// By counter.
  std::map<std::uint64_t, Record> records_;
  /// Counters of ended requests by end time.
  std::set<std::pair<Instant, std::uint64_t>> ended_;
};

}  // namespace pomelomill
