#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <utility>

#include "pomelomill/peer/peer_error.h"
#include "status_codes.h"

namespace pomelomill::wire {

/// One incoming call that has not been answered yet. It is finished once, by
/// whichever comes first: the handler's answer, the drop of the handler's
/// callback, or the stop of the server.
class PendingCall {
 public:
  using Finisher = std::function<void(const grpc::Status&)>;

  explicit PendingCall(Finisher finish) : finish_(std::move(finish)) {}
  PendingCall(const PendingCall&) = delete;
  PendingCall& operator=(const PendingCall&) = delete;

  /// Runs `fill`, which may write the response, and ends the call with the
  /// status; does nothing when the call has ended.
  void Finish(const grpc::Status& status,
              const std::function<void()>& fill = nullptr) {
    const std::lock_guard lock(mutex_);
    if (!finish_) return;
    if (fill) fill();
    std::exchange(finish_, nullptr)(status);
  }

 private:
  std::mutex mutex_;
  Finisher finish_;
};

/// All calls in progress of one server.
class PendingCalls {
 public:
  explicit PendingCalls(std::size_t limit) : limit_(limit) {}

  /// A handle for a new call that ends the call when its last copy goes away
  /// unanswered; null when there are too many calls or the server is stopping.
  std::shared_ptr<PendingCall> Add(PendingCall::Finisher finish) {
    const std::lock_guard lock(mutex_);
    if (is_stopping_ || calls_.size() >= limit_) return nullptr;
    auto call = std::make_shared<PendingCall>(std::move(finish));
    calls_.insert(call);
    return {call.get(), [this, call](PendingCall* /*unused*/) mutable {
              call->Finish(StatusOf(PeerError::kRefused));
              Remove(call);
            }};
  }

  /// Refuses all calls in progress and every later one.
  void Stop() {
    std::set<std::shared_ptr<PendingCall>> calls;
    {
      const std::lock_guard lock(mutex_);
      is_stopping_ = true;
      calls = calls_;
    }
    for (const auto& call : calls) call->Finish(StatusOf(PeerError::kRefused));
  }

 private:
  void Remove(const std::shared_ptr<PendingCall>& call) {
    const std::lock_guard lock(mutex_);
    calls_.erase(call);
  }

  std::size_t limit_;
  std::mutex mutex_;
  bool is_stopping_ = false;
  std::set<std::shared_ptr<PendingCall>> calls_;
};

}  // namespace pomelomill::wire
