#include "pomelomill/peer/exchange_book.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pomelomill {
namespace {

bool IsNoticeable(std::uint32_t before, std::uint32_t after) {
  if (before == after) return false;
  if (before == 0 || after == 0) return true;
  const std::uint32_t change =
      std::max(before, after) - std::min(before, after);
  return change > 1 && 8 * static_cast<std::uint64_t>(change) > before;
}

bool IsNoticeable(const PoolLoadUpdate& before, const PoolLoadUpdate& after) {
  return IsNoticeable(before.queued, after.queued) ||
         IsNoticeable(before.in_flight, after.in_flight) ||
         IsNoticeable(before.free_slots, after.free_slots);
}

bool IsNoticeable(double before, double after) {
  if (before == after) return false;
  if (before == 0 || after == 0) return true;
  return 8 * std::abs(after - before) > before;
}

bool IsNoticeable(const QueueLoad& before, const QueueLoad& after) {
  return IsNoticeable(before.mean_rate, after.mean_rate) ||
         IsNoticeable(before.current_rate, after.current_rate) ||
         IsNoticeable(ToSeconds(before.service_time),
                      ToSeconds(after.service_time)) ||
         IsNoticeable(static_cast<double>(before.missed),
                      static_cast<double>(after.missed));
}

/// Drops changes after `limit`, appends the rest to `to`.
template <typename Items, typename Value>
void Append(const Items& items, std::uint64_t limit, std::vector<Value>* to) {
  for (const auto& item : items) {
    if (item.sequence <= limit) to->push_back(item.value);
  }
}

}  // namespace

void ExchangeBook::SetPool(const PoolLoadUpdate& load) {
  const PoolLoadUpdate* before = pools_.Find(load.pool);
  if (before != nullptr && !IsNoticeable(*before, load)) return;
  if (pools_.Set(load.pool, load, sequence_ + 1)) ++sequence_;
}

void ExchangeBook::SetQueue(const QueueLoad& load) {
  const QueueLoad* before = queues_.Find(load.queue);
  if (before != nullptr && !IsNoticeable(*before, load)) return;
  if (queues_.Set(load.queue, load, sequence_ + 1)) ++sequence_;
}

void ExchangeBook::SetEndpoint(const EndpointUpdate& update) {
  if (endpoints_.Set(update.vm, update, sequence_ + 1)) ++sequence_;
}

void ExchangeBook::SetMember(const MemberInfo& info) {
  if (members_.Set(info.incarnation, info, sequence_ + 1)) ++sequence_;
}

ExchangeMessage ExchangeBook::Compose(const IncarnationId& peer,
                                      MemberReport report) const {
  ExchangeMessage message;
  message.report = std::move(report);
  message.loans = loans_;
  if (const PeerView* view = Find(peer)) {
    message.base = view->acknowledged;
    message.known = view->known;
  }
  const auto pools = pools_.Since(message.base);
  const auto queues = queues_.Since(message.base);
  const auto endpoints = endpoints_.Since(message.base);
  const auto members = members_.Since(message.base);

  message.sequence = sequence_;
  if (pools.size() + queues.size() + endpoints.size() + members.size() >
      max_items_) {
    std::vector<std::uint64_t> sequences;
    for (const auto& item : pools) sequences.push_back(item.sequence);
    for (const auto& item : queues) sequences.push_back(item.sequence);
    for (const auto& item : endpoints) sequences.push_back(item.sequence);
    for (const auto& item : members) sequences.push_back(item.sequence);
    const auto last = sequences.begin() + static_cast<long>(max_items_) - 1;
    std::nth_element(sequences.begin(), last, sequences.end());
    message.sequence = *last;
  }
  Append(pools, message.sequence, &message.pools);
  Append(queues, message.sequence, &message.queues);
  Append(endpoints, message.sequence, &message.endpoints);
  Append(members, message.sequence, &message.members);
  return message;
}

void ExchangeBook::Take(const ExchangeMessage& message) {
  PeerView& view = peers_[message.report.info.incarnation];
  // A peer cannot have more than there is.
  view.acknowledged =
      std::max(view.acknowledged, std::min(message.known, sequence_));
  if (message.base > view.known || message.sequence < view.known) return;
  view.known = message.sequence;
  for (const PoolLoadUpdate& load : message.pools) view.pools[load.pool] = load;
  for (const QueueLoad& load : message.queues) view.queues[load.queue] = load;
  for (const EndpointUpdate& update : message.endpoints) {
    view.endpoints[update.vm] = update;
  }
  view.loans = message.loans;
}

const PeerView* ExchangeBook::Find(const IncarnationId& peer) const {
  const auto it = peers_.find(peer);
  return it == peers_.end() ? nullptr : &it->second;
}

}  // namespace pomelomill
