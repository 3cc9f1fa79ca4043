#pragma once

#include <system_error>

namespace pomelomill {

enum class PeerError {
  /// No connection; the call may still have reached the peer.
  kUnavailable = 1,
  kTimeout,
  /// The peer has too many calls in progress; it did not handle this one.
  kOverloaded,
  kTooLarge,
  kBadMessage,
  /// The peer knows that this incarnation was replaced.
  kDeadIncarnation,
  /// The peer refused the call; it had no effect.
  kRefused,
  kCancelled,
  kFailed,
};

const std::error_category& PeerCategory();

inline std::error_code make_error_code(PeerError e) {
  return {static_cast<int>(e), PeerCategory()};
}

}  // namespace pomelomill

template <>
struct std::is_error_code_enum<pomelomill::PeerError> : std::true_type {};
