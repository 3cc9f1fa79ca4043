#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>

#include "pomelomill/base/result.h"

namespace pomelomill {

/// Runs a function on the control thread, later; callable from any thread.
using Poster = std::function<void(std::function<void()>)>;

template <typename T>
using PeerCallback = std::function<void(Result<T>)>;

/// Limits of one server or client.
struct PeerOptions {
  /// A body of 8 MiB, the largest that callers may send, with its headers.
  std::size_t max_message_bytes = (std::size_t{8} << 20) + (64U << 10);
  /// Calls in progress; further ones are refused at once.
  std::size_t max_calls = 512;
  /// Connections to peers that a client keeps.
  std::size_t max_channels = 64;
};

/// Message bytes without the framing of HTTP/2, and calls.
struct PeerTraffic {
  std::uint64_t calls = 0;
  std::uint64_t failed_calls = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
};

}  // namespace pomelomill
