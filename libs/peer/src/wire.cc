#include "wire.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <string>

#include "pomelomill/peer/peer_error.h"

namespace pomelomill::wire {
namespace {

constexpr int kMaxListItems = 4096;
constexpr std::size_t kMaxNameBytes = 256;
constexpr std::size_t kMaxPathBytes = std::size_t{16} << 10;
/// Longest time that a message may name: a year. Longer ones would overflow
/// when they are converted to nanoseconds.
constexpr std::uint64_t kMaxMillis = 366ULL * 24 * 3600 * 1000;

std::uint64_t Millis(Duration d) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, ToMillis(d)));
}

Duration FromMillis(std::uint64_t ms) {
  return std::chrono::milliseconds(std::min(ms, kMaxMillis));
}

bool IsName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxNameBytes;
}

bool IsNameOrEmpty(const std::string& name) {
  return name.size() <= kMaxNameBytes;
}

/// Rates are added up and divided by; anything but a plain number would
/// spread from one entry to the plans of the region.
bool IsRate(double rate) { return std::isfinite(rate) && rate >= 0; }

template <typename List>
bool IsShort(const List& list) {
  return list.size() <= kMaxListItems;
}

tl::unexpected<std::error_code> Bad() {
  return Unexpected(PeerError::kBadMessage);
}

void PutInfo(const MemberInfo& from, peer::MemberInfo* to) {
  to->set_entry(from.entry.value());
  to->set_incarnation(from.incarnation.value());
  to->set_region(from.region.value());
  to->set_address(from.address);
  to->set_registration(from.registration.value());
}

bool IsValid(const peer::MemberInfo& info) {
  return IsName(info.entry()) && IsName(info.incarnation()) &&
         IsName(info.region()) && IsNameOrEmpty(info.address());
}

MemberInfo GetInfo(const peer::MemberInfo& from) {
  return {.entry = EntryId(from.entry()),
          .incarnation = IncarnationId(from.incarnation()),
          .region = RegionId(from.region()),
          .address = from.address(),
          .registration = Version(from.registration())};
}

void PutReport(const MemberReport& from, peer::MemberReport* to) {
  PutInfo(from.info, to->mutable_info());
  to->set_config_revision(from.config_revision.value());
  to->set_state_version(from.state_version.value());
  if (from.lease_age) to->set_lease_age_ms(Millis(*from.lease_age));
  for (const ContactReport& contact : from.contacts) {
    peer::Contact* item = to->add_contacts();
    item->set_member(contact.member.value());
    // Rounded down: a member must not look absent for longer than it was.
    if (contact.age) item->set_age_ms(Millis(*contact.age));
  }
  for (const VmInFlight& vm : from.draining) {
    peer::VmInFlight* item = to->add_draining();
    item->set_vm(vm.vm.value());
    item->set_in_flight(vm.in_flight);
    item->set_version(vm.version.value());
  }
  to->set_in_flight(from.in_flight);
  to->set_shares_version(from.shares_version.value());
  to->set_is_leaving(from.is_leaving);
}

Result<MemberReport> GetReport(const peer::MemberReport& from) {
  if (!IsValid(from.info()) || !IsShort(from.contacts()) ||
      !IsShort(from.draining())) {
    return Bad();
  }
  MemberReport to;
  to.info = GetInfo(from.info());
  to.config_revision = Revision(from.config_revision());
  to.state_version = Version(from.state_version());
  if (from.has_lease_age_ms()) to.lease_age = FromMillis(from.lease_age_ms());
  for (const peer::Contact& item : from.contacts()) {
    ContactReport contact{.member = IncarnationKey(item.member()), .age = {}};
    if (item.has_age_ms()) contact.age = FromMillis(item.age_ms());
    to.contacts.push_back(contact);
  }
  for (const peer::VmInFlight& item : from.draining()) {
    if (!IsName(item.vm())) return Bad();
    to.draining.push_back({.vm = VmId(item.vm()),
                           .in_flight = item.in_flight(),
                           .version = Version(item.version())});
  }
  to.in_flight = from.in_flight();
  to.shares_version = Version(from.shares_version());
  to.is_leaving = from.is_leaving();
  return to;
}

template <typename List>
void PutHeaders(const std::vector<PeerHeader>& from, List* to) {
  for (const PeerHeader& header : from) {
    peer::Header* item = to->Add();
    item->set_name(header.name);
    item->set_value(header.value);
  }
}

template <typename List>
std::vector<PeerHeader> GetHeaders(const List& from) {
  std::vector<PeerHeader> headers;
  for (const peer::Header& item : from) {
    headers.push_back({.name = item.name(), .value = item.value()});
  }
  return headers;
}

}  // namespace

void ToWire(const ExchangeMessage& from, peer::ExchangeMessage* to) {
  PutReport(from.report, to->mutable_report());
  for (const PoolLoadUpdate& load : from.pools) {
    peer::PoolLoad* item = to->add_pools();
    item->set_pool(load.pool.value());
    item->set_queued(load.queued);
    item->set_in_flight(load.in_flight);
    item->set_free_slots(load.free_slots);
  }
  for (const QueueLoad& load : from.queues) {
    peer::QueueLoad* item = to->add_queues();
    item->set_queue(load.queue.value());
    item->set_mean_rate(load.mean_rate);
    item->set_current_rate(load.current_rate);
    item->set_service_time_ms(Millis(load.service_time));
    item->set_asked(load.asked);
    item->set_missed(load.missed);
  }
  for (const EndpointUpdate& update : from.endpoints) {
    peer::EndpointUpdate* item = to->add_endpoints();
    item->set_vm(update.vm.value());
    item->set_generation(update.generation.value());
    item->set_condition(static_cast<peer::EndpointCondition>(update.condition));
  }
  for (const MemberInfo& info : from.members) PutInfo(info, to->add_members());
  to->set_base(from.base);
  to->set_sequence(from.sequence);
  to->set_known(from.known);
  for (const SlotLoan& loan : from.loans) {
    peer::SlotLoan* item = to->add_loans();
    item->set_loan(loan.loan.value());
    item->set_borrower(loan.borrower.value());
    item->set_pool(loan.pool.value());
    item->set_slots(loan.slots);
    item->set_remaining_ms(Millis(loan.remaining));
  }
}

Result<ExchangeMessage> FromWire(const peer::ExchangeMessage& from) {
  if (!IsShort(from.pools()) || !IsShort(from.queues()) ||
      !IsShort(from.endpoints()) || !IsShort(from.members()) ||
      !IsShort(from.loans())) {
    return Bad();
  }
  ExchangeMessage to;
  Result<MemberReport> report = GetReport(from.report());
  if (!report) return Bad();
  to.report = *std::move(report);
  for (const peer::PoolLoad& item : from.pools()) {
    if (!IsName(item.pool())) return Bad();
    to.pools.push_back({.pool = PoolId(item.pool()),
                        .queued = item.queued(),
                        .in_flight = item.in_flight(),
                        .free_slots = item.free_slots()});
  }
  for (const peer::QueueLoad& item : from.queues()) {
    if (!IsName(item.queue()) || !IsRate(item.mean_rate()) ||
        !IsRate(item.current_rate())) {
      return Bad();
    }
    to.queues.push_back({.queue = QueueId(item.queue()),
                         .mean_rate = item.mean_rate(),
                         .current_rate = item.current_rate(),
                         .service_time = FromMillis(item.service_time_ms()),
                         .asked = item.asked(),
                         .missed = item.missed()});
  }
  for (const peer::EndpointUpdate& item : from.endpoints()) {
    if (!IsName(item.vm()) ||
        !peer::EndpointCondition_IsValid(item.condition())) {
      return Bad();
    }
    to.endpoints.push_back(
        {.vm = VmId(item.vm()),
         .generation = Generation(item.generation()),
         .condition = static_cast<EndpointCondition>(item.condition())});
  }
  for (const peer::MemberInfo& item : from.members()) {
    if (!IsValid(item)) return Bad();
    to.members.push_back(GetInfo(item));
  }
  to.base = from.base();
  to.sequence = from.sequence();
  to.known = from.known();
  for (const peer::SlotLoan& item : from.loans()) {
    if (!IsName(item.borrower()) || !IsName(item.pool())) return Bad();
    to.loans.push_back({.loan = LoanId(item.loan()),
                        .borrower = IncarnationId(item.borrower()),
                        .pool = PoolId(item.pool()),
                        .slots = item.slots(),
                        .remaining = FromMillis(item.remaining_ms())});
  }
  return to;
}

void ToWire(const FetchStateRequest& from, peer::FetchStateRequest* to) {
  to->set_region(from.region.value());
  to->set_config_revision(from.config_revision.value());
  to->set_state_version(from.state_version.value());
}

Result<FetchStateRequest> FromWire(const peer::FetchStateRequest& from) {
  if (!IsName(from.region())) return Bad();
  return FetchStateRequest{.region = RegionId(from.region()),
                           .config_revision = Revision(from.config_revision()),
                           .state_version = Version(from.state_version())};
}

void ToWire(const FetchStateReply& from, peer::FetchStateReply* to) {
  to->set_config_revision(from.config_revision.value());
  to->set_config_text(from.config_text);
  to->set_state_version(from.state_version.value());
  to->set_state_text(from.state_text);
}

Result<FetchStateReply> FromWire(const peer::FetchStateReply& from) {
  return FetchStateReply{.config_revision = Revision(from.config_revision()),
                         .config_text = from.config_text(),
                         .state_version = Version(from.state_version()),
                         .state_text = from.state_text()};
}

void ToWire(const RunKeyedRequest& from, peer::RunKeyedRequest* to) {
  to->set_key(from.key);
  to->set_method(from.method);
  to->set_queue(from.queue.value());
  to->set_path(from.path);
  to->set_team(from.team.value());
  to->set_deadline_ms(Millis(from.deadline));
  PutHeaders(from.headers, to->mutable_headers());
  to->set_body(from.body);
}

Result<RunKeyedRequest> FromWire(const peer::RunKeyedRequest& from) {
  if (!IsName(from.key()) || !IsName(from.method()) || !IsName(from.queue()) ||
      !IsNameOrEmpty(from.team()) || from.path().size() > kMaxPathBytes ||
      !IsShort(from.headers())) {
    return Bad();
  }
  return RunKeyedRequest{.key = from.key(),
                         .method = from.method(),
                         .queue = QueueId(from.queue()),
                         .path = from.path(),
                         .team = TeamId(from.team()),
                         .deadline = FromMillis(from.deadline_ms()),
                         .headers = GetHeaders(from.headers()),
                         .body = from.body()};
}

void ToWire(const RunKeyedReply& from, peer::RunKeyedReply* to) {
  to->set_outcome(static_cast<peer::Outcome>(from.outcome));
  to->set_status(static_cast<std::uint32_t>(from.status));
  PutHeaders(from.headers, to->mutable_headers());
  to->set_body(from.body);
  to->set_retry_after_ms(Millis(from.retry_after));
}

Result<RunKeyedReply> FromWire(const peer::RunKeyedReply& from) {
  if (!peer::Outcome_IsValid(from.outcome()) || from.status() > 999 ||
      !IsShort(from.headers())) {
    return Bad();
  }
  return RunKeyedReply{.outcome = static_cast<KeyedOutcome>(from.outcome()),
                       .status = static_cast<int>(from.status()),
                       .headers = GetHeaders(from.headers()),
                       .body = from.body(),
                       .retry_after = FromMillis(from.retry_after_ms())};
}

void ToWire(const LendSlotsRequest& from, peer::LendSlotsRequest* to) {
  to->set_borrower(from.borrower.value());
  to->set_pool(from.pool.value());
  to->set_slots(from.slots);
  to->set_duration_ms(Millis(from.duration));
}

Result<LendSlotsRequest> FromWire(const peer::LendSlotsRequest& from) {
  if (!IsName(from.borrower()) || !IsName(from.pool())) return Bad();
  return LendSlotsRequest{.borrower = IncarnationId(from.borrower()),
                          .pool = PoolId(from.pool()),
                          .slots = from.slots(),
                          .duration = FromMillis(from.duration_ms())};
}

void ToWire(const LendSlotsReply& from, peer::LendSlotsReply* to) {
  to->set_loan(from.loan.value());
  to->set_slots(from.slots);
  to->set_duration_ms(Millis(from.duration));
}

Result<LendSlotsReply> FromWire(const peer::LendSlotsReply& from) {
  return LendSlotsReply{.loan = LoanId(from.loan()),
                        .slots = from.slots(),
                        .duration = FromMillis(from.duration_ms())};
}

void ToWire(const ReturnSlotsRequest& from, peer::ReturnSlotsRequest* to) {
  to->set_borrower(from.borrower.value());
  to->set_loan(from.loan.value());
  to->set_slots(from.slots);
}

Result<ReturnSlotsRequest> FromWire(const peer::ReturnSlotsRequest& from) {
  if (!IsName(from.borrower())) return Bad();
  return ReturnSlotsRequest{.borrower = IncarnationId(from.borrower()),
                            .loan = LoanId(from.loan()),
                            .slots = from.slots()};
}

void ToWire(const ReturnSlotsReply& from, peer::ReturnSlotsReply* to) {
  to->set_remaining(from.remaining);
}

Result<ReturnSlotsReply> FromWire(const peer::ReturnSlotsReply& from) {
  return ReturnSlotsReply{.remaining = from.remaining()};
}

}  // namespace pomelomill::wire
