#pragma once

#include <cstdint>
#include <memory>
#include <utility>

#include "pomelomill/base/result.h"
#include "pomelomill/membership/membership_error.h"

namespace pomelomill {

enum class StateSource { kStore, kPeer, kStartUp };

/// Holds the newest value of one kind that this process has accepted, under
/// its number (Revision for the configuration, Version for the region state).
/// The number never goes down, whatever the source.
template <typename Number, typename T>
class StateGate {
 public:
  /// Accepts `value` when `number` is higher than the one in force; returns
  /// true when it was taken and false when the number is the one in force.
  /// kOlderState for a lower number or one below the floor.
  Result<bool> Offer(Number number, std::shared_ptr<const T> value,
                     StateSource source) {
    if (number < floor_ || number < number_) {
      ++refused_;
      return Unexpected(MembershipError::kOlderState);
    }
    if (number == number_) return false;
    number_ = number;
    floor_ = number;
    value_ = std::move(value);
    source_ = source;
    return true;
  }

  /// Notes that `number` exists somewhere, for example in a peer's report.
  /// Lower values are refused from then on, and is_behind() is true until one
  /// that is high enough has been accepted.
  void Seen(Number number) {
    if (number > floor_) floor_ = number;
  }

  /// True when a higher number has been seen than the one in force.
  bool is_behind() const { return floor_ > number_; }

  Number number() const { return number_; }
  Number highest_seen() const { return floor_; }
  /// Null while nothing has been accepted.
  const std::shared_ptr<const T>& value() const { return value_; }
  StateSource source() const { return source_; }
  std::uint64_t refused() const { return refused_; }

 private:
  Number number_;
  Number floor_;
  std::shared_ptr<const T> value_;
  StateSource source_ = StateSource::kStartUp;
  std::uint64_t refused_ = 0;
};

}  // namespace pomelomill
