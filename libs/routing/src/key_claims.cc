#include "pomelomill/routing/key_claims.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <vector>

namespace pomelomill {
namespace {

// Store writes for one claim before it fails as unavailable.
constexpr int kMaxWritesPerClaim = 2;

struct ClaimValue {
  std::string writer;
  std::uint64_t sequence = 0;
  std::optional<KeyOutcome> outcome;
};

const char* OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string EncodeClaim(const ClaimValue& value) {
  nlohmann::json json = {{"writer", value.writer},
                         {"sequence", value.sequence}};
  if (value.outcome) {
    json["outcome"] = OutcomeName(value.outcome->outcome);
    json["status"] = value.outcome->status;
  }
  return json.dump();
}

ClaimValue DecodeClaim(const std::string& text) {
  ClaimValue value;
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object()) return value;
  const auto writer = json.find("writer");
  const auto sequence = json.find("sequence");
  if (writer == json.end() || !writer->is_string() || sequence == json.end() ||
      !sequence->is_number_unsigned()) {
    return value;
  }
  value.writer = writer->get<std::string>();
  value.sequence = sequence->get<std::uint64_t>();
  const auto outcome = json.find("outcome");
  const auto status = json.find("status");
  if (outcome != json.end() && outcome->is_string() && status != json.end() &&
      status->is_number_integer()) {
    const auto name = outcome->get<std::string>();
    value.outcome =
        KeyOutcome{name == "answered" ? Outcome::kAnswered : Outcome::kUnknown,
                   status->get<int>()};
  }
  return value;
}

}  // namespace

class KeyClaims::Impl : public std::enable_shared_from_this<Impl> {
 public:
  using Callback = std::function<void(ClaimResult)>;

  Impl(StoreClient& store, TimerService& timers, KeyClaimsOptions options)
      : store_(store), timers_(timers), options_(std::move(options)) {}

  void Claim(const std::string& key, Callback callback) {
    if (claims_.contains(key)) {
      return callback({.state = ClaimState::kAlreadyClaimed, .outcome = {}});
    }
    if (pending_ >= options_.max_pending) {
      return callback({.state = ClaimState::kUnavailable, .outcome = {}});
    }
    ++pending_;
    OpenClaim& claim = claims_[key];
    claim.sequence = ++sequence_;
    claim.callback = std::move(callback);
    if (IsLeaseUsable()) return Write(key);
    waiting_for_lease_.push_back(key);
    RequestLease();
  }

  void Finish(const std::string& key, KeyOutcome outcome) {
    const auto found = claims_.find(key);
    if (found == claims_.end() || found->second.callback) return;
    const OpenClaim claim = found->second;
    claims_.erase(found);
    const auto ignore = [](const Result<Version>&) {};
    if (outcome.outcome == Outcome::kNotRun) {
      store_.erase(StoreKey(key), claim.version, options_.call_timeout, ignore);
      return;
    }
    store_.put(
        StoreKey(key),
        EncodeClaim({options_.incarnation.value(), claim.sequence, outcome}),
        claim.version, claim.lease, options_.call_timeout, ignore);
  }

  std::size_t open_claims() const { return claims_.size(); }
  void Stop() { is_stopped_ = true; }

 private:
  struct OpenClaim {
    std::uint64_t sequence = 0;
    int writes = 0;
    Version version;
    LeaseId lease;
    /// Null once the result of the claim has been delivered.
    Callback callback;
  };

  static std::string StoreKey(const std::string& key) {
    return "claims/" + key;
  }

  /// Returns whether new claims may be attached to the current lease, which
  /// needs at least half of its duration left.
  bool IsLeaseUsable() const {
    return !lease_.empty() && timers_.Now() < lease_usable_until_;
  }

  void RequestLease() {
    if (is_requesting_lease_) return;
    is_requesting_lease_ = true;
    const Instant requested_at = timers_.Now();
    store_.grant_lease(options_.lease_duration, options_.call_timeout,
                       [self = shared_from_this(),
                        requested_at](const Result<LeaseId>& lease) {
                         self->OnLease(requested_at, lease);
                       });
  }

  void OnLease(Instant requested_at, const Result<LeaseId>& lease) {
    if (is_stopped_) return;
    is_requesting_lease_ = false;
    if (lease) {
      lease_ = *lease;
      lease_usable_until_ = requested_at + options_.lease_duration / 2;
    }
    for (const std::string& key : std::exchange(waiting_for_lease_, {})) {
      if (lease) {
        Write(key);
      } else {
        Resolve(key, {.state = ClaimState::kUnavailable, .outcome = {}});
      }
    }
  }

  void Write(const std::string& key) {
    OpenClaim& claim = claims_.at(key);
    ++claim.writes;
    claim.lease = lease_;
    store_.put(
        StoreKey(key),
        EncodeClaim({options_.incarnation.value(), claim.sequence, {}}),
        Version(), lease_, options_.call_timeout,
        [self = shared_from_this(), key](const Result<Version>& version) {
          if (!self->is_stopped_) self->OnWritten(key, version);
        });
  }

  void OnWritten(const std::string& key, const Result<Version>& version) {
    if (version) {
      claims_.at(key).version = *version;
      return Resolve(key, {.state = ClaimState::kMayRun, .outcome = {}});
    }
    // The conflict may stem from an earlier write for this claim whose response
    // was lost. The stored value shows which claim created the key.
    if (version.error() == StoreError::kConflict ||
        version.error() == StoreError::kOutcomeUnknown) {
      return ReadBack(key);
    }
    if (version.error() == StoreError::kLeaseLapsed) lease_ = LeaseId();
    // An earlier write with an unknown outcome may still take effect, but the
    // request is not sent in any case.
    Resolve(key, {.state = ClaimState::kUnavailable, .outcome = {}});
  }

  void ReadBack(const std::string& key) {
    store_.get(StoreKey(key), options_.call_timeout,
               [self = shared_from_this(), key](const Result<StoreItem>& item) {
                 if (!self->is_stopped_) self->OnReadBack(key, item);
               });
  }

  void OnReadBack(const std::string& key, const Result<StoreItem>& item) {
    OpenClaim& claim = claims_.at(key);
    if (item) {
      const ClaimValue value = DecodeClaim(item->value);
      if (value.writer == options_.incarnation.value() &&
          value.sequence == claim.sequence) {
        claim.version = item->version;
        return Resolve(key, {.state = ClaimState::kMayRun, .outcome = {}});
      }
      return Resolve(key, {.state = ClaimState::kAlreadyClaimed,
                           .outcome = value.outcome});
    }
    if (item.error() == StoreError::kNotFound &&
        claim.writes < kMaxWritesPerClaim) {
      return Write(key);
    }
    Resolve(key, {.state = ClaimState::kUnavailable, .outcome = {}});
  }

  void Resolve(const std::string& key, const ClaimResult& result) {
    --pending_;
    const auto found = claims_.find(key);
    const Callback callback = std::move(found->second.callback);
    found->second.callback = nullptr;
    if (result.state != ClaimState::kMayRun) claims_.erase(found);
    callback(result);
  }

  StoreClient& store_;
  TimerService& timers_;
  KeyClaimsOptions options_;
  std::map<std::string, OpenClaim> claims_;
  std::vector<std::string> waiting_for_lease_;
  std::size_t pending_ = 0;
  std::uint64_t sequence_ = 0;
  LeaseId lease_;
  Instant lease_usable_until_{};
  bool is_requesting_lease_ = false;
  bool is_stopped_ = false;
};

KeyClaims::KeyClaims(StoreClient& store, TimerService& timers,
                     KeyClaimsOptions options)
    : impl_(std::make_shared<Impl>(store, timers, std::move(options))) {}

KeyClaims::~KeyClaims() { impl_->Stop(); }

void KeyClaims::Claim(const std::string& key,
                      std::function<void(ClaimResult)> callback) {
  impl_->Claim(key, std::move(callback));
}

void KeyClaims::Finish(const std::string& key, KeyOutcome outcome) {
  impl_->Finish(key, outcome);
}

std::size_t KeyClaims::open_claims() const { return impl_->open_claims(); }

}  // namespace pomelomill
