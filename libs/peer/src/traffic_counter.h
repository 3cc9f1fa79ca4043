#pragma once

#include <atomic>
#include <cstdint>

#include "pomelomill/peer/peer_options.h"

namespace pomelomill::wire {

/// PeerTraffic that gRPC's threads add to.
class TrafficCounter {
 public:
  void Sent(std::uint64_t bytes) { sent_ += bytes; }
  void Received(std::uint64_t bytes) { received_ += bytes; }
  void Called() { ++calls_; }
  void Failed() { ++failed_; }

  PeerTraffic Snapshot() const {
    return {.calls = calls_,
            .failed_calls = failed_,
            .bytes_sent = sent_,
            .bytes_received = received_};
  }

 private:
  std::atomic<std::uint64_t> calls_ = 0;
  std::atomic<std::uint64_t> failed_ = 0;
  std::atomic<std::uint64_t> sent_ = 0;
  std::atomic<std::uint64_t> received_ = 0;
};

}  // namespace pomelomill::wire
