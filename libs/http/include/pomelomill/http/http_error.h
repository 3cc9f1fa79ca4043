#pragma once

#include <system_error>

namespace pomelomill {

enum class HttpError {
  /// No connection, for another reason than the next two.
  kConnectFailed = 1,
  kTimeout,
  /// The response ended early, or nothing marks where it ends.
  kTruncated,
  /// The peer closed the connection before the response began.
  kConnectionClosed,
  kTooLarge,
  kBadRequest,
  kFailed,
  /// The listening address cannot be used.
  kListenFailed,
  /// The peer's machine answered that nothing listens at the port.
  kConnectionRefused,
  /// This process or its machine has no descriptor, port or memory left for a
  /// connection. Says nothing about the peer.
  kNoSocket,
};

const std::error_category& HttpCategory();

inline std::error_code make_error_code(HttpError e) {
  return {static_cast<int>(e), HttpCategory()};
}

}  // namespace pomelomill

template <>
struct std::is_error_code_enum<pomelomill::HttpError> : std::true_type {};
