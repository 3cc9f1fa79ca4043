#include "pomelomill/peer/exchange_loop.h"

#include <memory>
#include <utility>

#include "pomelomill/membership/membership_error.h"
#include "pomelomill/peer/peer_error.h"

namespace pomelomill {

ExchangeLoop::ExchangeLoop(TimerService& timers, MemberTable& table,
                           SendPermit& permit, ExchangeBook& book,
                           ExchangeHooks hooks, std::uint64_t seed)
    : timers_(timers),
      table_(table),
      permit_(permit),
      book_(book),
      hooks_(std::move(hooks)),
      partners_(seed) {}

ExchangeLoop::~ExchangeLoop() { Stop(); }

void ExchangeLoop::Start() {
  Stop();
  Round();
}

void ExchangeLoop::Stop() {
  timers_.Cancel(timer_);
  timer_ = 0;
}

void ExchangeLoop::Round() {
  timer_ = timers_.ScheduleAfter(table_.settings().exchange_interval,
                                 [this] { Round(); });
  for (const IncarnationId& partner : partners_.Next(table_, timers_.Now())) {
    if (!in_flight_.contains(partner)) Send(partner);
  }
}

void ExchangeLoop::Send(const IncarnationId& partner) {
  const Member* member = table_.Find(partner);
  if (member == nullptr) return;
  const Instant sent = timers_.Now();
  const std::string address = member->info.address;
  table_.Attempted(partner, sent);
  in_flight_.insert(partner);
  // Two intervals: longer than any healthy exchange, and short enough that a
  // dead peer is tried several times within the contact window.
  hooks_.send(address, Compose(partner),
              2 * table_.settings().exchange_interval,
              [this, is_alive = std::weak_ptr<bool>(is_alive_), partner,
               sent](const Result<ExchangeMessage>& reply) {
                if (is_alive.expired()) return;
                in_flight_.erase(partner);
                if (!reply) {
                  ++failures_;
                  if (reply.error() == PeerError::kDeadIncarnation &&
                      hooks_.on_replaced) {
                    hooks_.on_replaced();
                  }
                  return;
                }
                const MemberInfo& info = reply->report.info;
                if (!Take(*reply) || info.region != table_.self().region)
                  return;
                // Another run of the entry may answer at the same address.
                permit_.ExchangeAnswered(info.incarnation, sent,
                                         reply->report.state_version);
              });
}

void ExchangeLoop::Handle(const ExchangeMessage& message,
                          const PeerCallback<ExchangeMessage>& reply) {
  if (const Status taken = Take(message); !taken) {
    reply(Unexpected(taken.error()));
    return;
  }
  reply(Compose(message.report.info.incarnation));
}

Status ExchangeLoop::Take(const ExchangeMessage& message) {
  if (const Status heard = table_.Heard(message.report, timers_.Now());
      !heard) {
    return heard;
  }
  for (const MemberInfo& info : message.members) {
    // A member that the table refuses is dead or one too many.
    if (table_.Learn(info) && info.incarnation != table_.self().incarnation) {
      book_.SetMember(table_.Find(info.incarnation)->info);
    }
  }
  const Member* member = table_.Find(message.report.info.incarnation);
  // The list of members may name a later incarnation of the sender's entry,
  // for example after a restart under the same address; the sender is dead
  // then.
  if (member == nullptr) return Unexpected(MembershipError::kDeadIncarnation);
  book_.SetMember(member->info);
  book_.Take(message);
  if (hooks_.on_contact) hooks_.on_contact(*member);
  return {};
}

ExchangeMessage ExchangeLoop::Compose(const IncarnationId& peer) {
  MemberReport report = hooks_.own_report();
  report.info = table_.self();
  report.contacts = table_.Contacts(hooks_.shares(), timers_.Now());
  return book_.Compose(peer, std::move(report));
}

}  // namespace pomelomill
