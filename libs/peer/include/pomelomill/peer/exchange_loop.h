#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/timer_service.h"
#include "pomelomill/membership/member_table.h"
#include "pomelomill/membership/partner_choice.h"
#include "pomelomill/membership/send_permit.h"
#include "pomelomill/peer/exchange_book.h"
#include "pomelomill/peer/peer_messages.h"
#include "pomelomill/peer/peer_options.h"

namespace pomelomill {

/// What an ExchangeLoop needs from its entry.
struct ExchangeHooks {
  /// Sends one exchange; PeerClient::Exchange.
  std::function<void(const std::string& address, const ExchangeMessage&,
                     Duration timeout, PeerCallback<ExchangeMessage>)>
      send;
  /// The entry's own numbers; info and contacts are filled in by the loop.
  std::function<MemberReport()> own_report;
  /// Owners of slot shares in the region state in force.
  std::function<std::vector<EntryShare>()> shares;
  /// Called after each message from a peer has been taken: the entry may
  /// fetch newer state from it or use its load.
  std::function<void(const Member&)> on_contact;
  /// A peer knows that this entry's incarnation was replaced: it must stop.
  std::function<void()> on_replaced;
};

/// Runs the regular exchanges of one entry, on the control thread: chooses
/// partners, sends, and feeds what comes back to the member table, the send
/// permit and the exchange book, all of which must outlive it.
class ExchangeLoop {
 public:
  ExchangeLoop(TimerService& timers, MemberTable& table, SendPermit& permit,
               ExchangeBook& book, ExchangeHooks hooks, std::uint64_t seed);
  ~ExchangeLoop();
  ExchangeLoop(const ExchangeLoop&) = delete;
  ExchangeLoop& operator=(const ExchangeLoop&) = delete;

  void Start();
  void Stop();

  /// Answers a peer's exchange; for PeerHandlers::exchange. A refused report
  /// is answered with its error.
  void Handle(const ExchangeMessage& message,
              const PeerCallback<ExchangeMessage>& reply);

  /// Exchanges that ended without an answer.
  std::uint64_t failures() const { return failures_; }

 private:
  void Round();
  void Send(const IncarnationId& partner);
  Status Take(const ExchangeMessage& message);
  ExchangeMessage Compose(const IncarnationId& peer);

  TimerService& timers_;
  MemberTable& table_;
  SendPermit& permit_;
  ExchangeBook& book_;
  ExchangeHooks hooks_;
  PartnerChoice partners_;
  /// Expires with this object; answers that come later are dropped.
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
  TimerId timer_ = 0;
  std::set<IncarnationId> in_flight_;
  std::uint64_t failures_ = 0;
};

}  // namespace pomelomill
