#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <utility>

#include "pomelomill/routing/events.h"

namespace pomelomill {

/// Bounded queue of waiting requests, ordered by deadline (earliest first) and
/// then by arrival.
class DeadlineQueue {
 public:
  explicit DeadlineQueue(std::size_t capacity) : capacity_(capacity) {}

  /// Returns false, without adding the request, when the queue is full.
  bool Push(RequestId request, Instant deadline);

  /// Returns false when the request is not in the queue.
  bool Erase(RequestId request, Instant deadline);

  /// Returns the request to serve next; none when the queue is empty.
  std::optional<RequestId> Front() const;
  /// Returns the deadline of Front(); the queue must not be empty.
  Instant front_deadline() const { return items_.begin()->first; }
  /// Returns the request that would be served last, the first to be shed; none
  /// when the queue is empty.
  std::optional<RequestId> Back() const;

  /// Returns the number of waiting requests due at or before `deadline`.
  std::size_t CountUpTo(Instant deadline) const;
  /// Returns the last waiting request due at or before `deadline`; none when
  /// there is no such request.
  std::optional<RequestId> LastUpTo(Instant deadline) const;

  std::size_t size() const { return items_.size(); }
  bool empty() const { return items_.empty(); }
  std::size_t capacity() const { return capacity_; }
  /// Requests beyond a reduced capacity stay in the queue.
  void set_capacity(std::size_t capacity) { capacity_ = capacity; }

 private:
  std::size_t capacity_;
  std::set<std::pair<Instant, RequestId>> items_;
};

}  // namespace pomelomill
