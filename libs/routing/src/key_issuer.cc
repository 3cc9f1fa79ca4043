#include "pomelomill/routing/key_issuer.h"

#include <algorithm>
#include <charconv>

namespace pomelomill {
namespace {

constexpr std::string_view kPrefix = "pomelomill.";

struct KeyParts {
  std::string_view incarnation;
  std::string_view counter;
};

/// Splits a key of the format "pomelomill.INCARNATION.COUNTER".
std::optional<KeyParts> SplitKey(std::string_view key) {
  if (!key.starts_with(kPrefix)) return std::nullopt;
  key.remove_prefix(kPrefix.size());
  const auto dot = key.rfind('.');
  if (dot == std::string_view::npos || dot == 0) return std::nullopt;
  return KeyParts{key.substr(0, dot), key.substr(dot + 1)};
}

}  // namespace

KeyIssuer::KeyIssuer(IncarnationId incarnation, KeyIssuerOptions options)
    : incarnation_(std::move(incarnation)), options_(options) {}

std::vector<std::string> KeyIssuer::Issue(std::size_t count) {
  std::vector<std::string> keys;
  keys.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    keys.push_back(std::string(kPrefix) + incarnation_.value() + "." +
                   std::to_string(next_counter_++));
  }
  return keys;
}

std::optional<IncarnationId> KeyIssuer::IncarnationOf(std::string_view key) {
  const auto parts = SplitKey(key);
  if (!parts) return std::nullopt;
  return IncarnationId(std::string(parts->incarnation));
}

std::optional<std::uint64_t> KeyIssuer::CounterOf(std::string_view key) const {
  const auto parts = SplitKey(key);
  if (!parts || parts->incarnation != incarnation_.value()) return std::nullopt;
  std::uint64_t counter = 0;
  const char* end = parts->counter.data() + parts->counter.size();
  const auto [rest, ec] = std::from_chars(parts->counter.data(), end, counter);
  // A counter with a leading zero would be a second spelling of the same key.
  if (ec != std::errc() || rest != end || parts->counter.front() == '0' ||
      counter >= next_counter_) {
    return std::nullopt;
  }
  return counter;
}

KeyDecision KeyIssuer::Begin(std::string_view key, Instant now) {
  const auto counter = CounterOf(key);
  if (!counter) return {.state = KeyState::kNotIssuedHere, .outcome = {}};
  EvictRecords(now);
  const auto found = records_.find(*counter);
  if (found != records_.end()) {
    return {.state =
                found->second.is_running ? KeyState::kRunning : KeyState::kDone,
            .outcome = found->second.outcome};
  }
  if (*counter < min_unexpired_counter_)
    return {.state = KeyState::kExpired, .outcome = {}};
  if (records_.size() >= options_.max_records && ended_.empty()) {
    return {.state = KeyState::kTooManyRunning, .outcome = {}};
  }
  records_.emplace(*counter, Record());
  EvictRecords(now);
  return {.state = KeyState::kMayRun, .outcome = {}};
}

void KeyIssuer::Finish(std::string_view key, KeyOutcome outcome, Instant now) {
  const auto counter = CounterOf(key);
  if (!counter) return;
  const auto found = records_.find(*counter);
  if (found == records_.end() || !found->second.is_running) return;
  if (outcome.outcome == Outcome::kNotRun) {
    records_.erase(found);
    return;
  }
  found->second = {.is_running = false, .outcome = outcome};
  ended_.emplace(now, *counter);
  EvictRecords(now);
}

void KeyIssuer::EvictRecords(Instant now) {
  while (!ended_.empty() &&
         (records_.size() > options_.max_records ||
          now - ended_.begin()->first > options_.record_ttl)) {
    const std::uint64_t counter = ended_.begin()->second;
    records_.erase(counter);
    ended_.erase(ended_.begin());
    min_unexpired_counter_ = std::max(min_unexpired_counter_, counter + 1);
  }
}

}  // namespace pomelomill
