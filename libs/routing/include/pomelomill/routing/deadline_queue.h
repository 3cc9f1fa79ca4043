#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <utility>

#include "pomelomill/routing/events.h"

namespace pomelomill {

/// Waiting requests of one queue, earliest deadline first, then in the order
/// of arrival. Bounded in length.
class DeadlineQueue {
 public:
  explicit DeadlineQueue(std::size_t capacity) : capacity_(capacity) {}

  /// False when the queue is full.
  bool Push(RequestId request, Instant deadline);

  /// False when the request is not in the queue.
  bool Erase(RequestId request, Instant deadline);

  /// The request that is served next.
  std::optional<RequestId> Front() const;
  /// Deadline of the front; the queue must not be empty.
  Instant front_deadline() const { return items_.begin()->first; }
  /// The request that is served last, which is the one to shed.
  std::optional<RequestId> Back() const;

  /// Number of waiting requests with a deadline up to this one.
  std::size_t CountUpTo(Instant deadline) const;
  /// The last of them.
  std::optional<RequestId> LastUpTo(Instant deadline) const;

  std::size_t size() const { return items_.size(); }
  bool empty() const { return items_.empty(); }
  std::size_t capacity() const { return capacity_; }
  void set_capacity(std::size_t capacity) { capacity_ = capacity; }

 private:
  std::size_t capacity_;
  std::set<std::pair<Instant, RequestId>> items_;
};

}  // namespace pomelomill
