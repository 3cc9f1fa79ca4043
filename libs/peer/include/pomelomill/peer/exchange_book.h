#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/result.h"
#include "pomelomill/peer/change_list.h"
#include "pomelomill/peer/peer_messages.h"

namespace pomelomill {

/// What one peer has told about its pools, queues and endpoints.
struct PeerView {
  std::map<PoolId, PoolLoadUpdate> pools;
  std::map<QueueId, QueueLoad> queues;
  std::map<VmId, EndpointUpdate> endpoints;
  std::vector<SlotLoan> loans;
  /// Sequence of the peer's lists that this view has.
  std::uint64_t known = 0;
  /// Sequence of this entry's lists that the peer has.
  std::uint64_t acknowledged = 0;
};

/// The lists that travel in exchanges: what this entry says and what it has
/// heard. A message holds only what changed since the receiver's last
/// acknowledgement, at most `max_items` changes, oldest first. Pure.
class ExchangeBook {
 public:
  explicit ExchangeBook(std::size_t max_items = 128) : max_items_(max_items) {}

  /// Publishes the load of one pool. A change of less than an eighth, or of
  /// one request, is not sent, unless a number becomes or stops being zero:
  /// choosing between endpoints needs no better figure, and most pools would
  /// otherwise change in every interval.
  void SetPool(const PoolLoadUpdate& load);
  /// The same for the demand of a queue; its counts alone are no reason to
  /// send it, but the last ones go with each change of a rate.
  void SetQueue(const QueueLoad& load);
  void SetEndpoint(const EndpointUpdate& update);
  void SetMember(const MemberInfo& info);
  void SetLoans(std::vector<SlotLoan> loans) { loans_ = std::move(loans); }

  /// The message to send to a peer.
  ExchangeMessage Compose(const IncarnationId& peer, MemberReport report) const;

  /// Takes a peer's message. A message that starts after what is known here
  /// (an earlier one was lost) changes no list; the peer sends again from
  /// what the next message acknowledges.
  void Take(const ExchangeMessage& message);

  /// Forgets a peer that is gone.
  void Forget(const IncarnationId& peer) { peers_.erase(peer); }

  const PeerView* Find(const IncarnationId& peer) const;
  const std::map<IncarnationId, PeerView>& peers() const { return peers_; }

 private:
  std::size_t max_items_;
  std::uint64_t sequence_ = 0;
  ChangeList<PoolId, PoolLoadUpdate> pools_;
  ChangeList<QueueId, QueueLoad> queues_;
  ChangeList<VmId, EndpointUpdate> endpoints_;
  ChangeList<IncarnationId, MemberInfo> members_;
  std::vector<SlotLoan> loans_;
  std::map<IncarnationId, PeerView> peers_;
};

}  // namespace pomelomill
