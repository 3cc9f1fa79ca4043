#include "pomelomill/control/control_lease.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "pomelomill/base/timer_service.h"
#include "pomelomill/store/store_error.h"

namespace pomelomill {
namespace {

/// Value of the key. It includes the store lease, because an entry may find a
/// key that it wrote under an earlier store lease; the store deletes that key
/// when the earlier lease expires.
struct ControlRecord {
  IncarnationId holder;
  LeaseId lease;
};

std::string Encode(const ControlRecord& record) {
  return nlohmann::json{{"holder", record.holder.value()},
                        {"lease", record.lease.value()}}
      .dump();
}

ControlRecord Decode(const std::string& text) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object()) return {};
  const auto field = [&](const char* name) {
    const auto it = json.find(name);
    return it != json.end() && it->is_string() ? it->get<std::string>() : "";
  };
  return {IncarnationId(field("holder")), LeaseId(field("lease"))};
}

}  // namespace

std::string ControlLeaseKey(const RegionId& region) {
  return "regions/" + region.value() + "/control";
}

class ControlLease::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(Settings settings, StoreClient store, TimerService& timers,
       std::function<std::optional<HeldLease>()> entry_lease,
       std::function<double()> jitter)
      : settings_(std::move(settings)),
        key_(ControlLeaseKey(settings_.region)),
        store_(std::move(store)),
        timers_(timers),
        entry_lease_(std::move(entry_lease)),
        jitter_(std::move(jitter)) {}

  void Tick() {
    const auto lease = entry_lease_();
    if (!lease || lease->id != held_lease_id_) held_lease_id_ = LeaseId();
    if (!lease || is_calling_ || is_released_ || timers_.Now() < next_call_at_)
      return;
    is_calling_ = true;
    const double wait = 1 + jitter_();
    next_call_at_ = timers_.Now() + std::chrono::duration_cast<Duration>(
                                        settings_.poll_interval * wait);
    Read(lease->id);
  }

  bool IsHeldFor(Duration margin) const {
    if (held_lease_id_.empty()) return false;
    const auto lease = entry_lease_();
    return lease && lease->id == held_lease_id_ &&
           timers_.Now() + margin < lease->valid_until;
  }

  void Release() {
    is_released_ = true;
    if (held_lease_id_.empty()) return;
    held_lease_id_ = LeaseId();
    store_.erase(key_, version_, settings_.timeout, [](const auto&) {});
  }

  const IncarnationId& holder() const { return holder_; }

 private:
  void Read(const LeaseId& lease) {
    store_.get(key_, settings_.timeout,
               [weak = weak_from_this(), lease](const Result<StoreItem>& item) {
                 const auto self = weak.lock();
                 if (self) self->OnRead(lease, item);
               });
  }

  void OnRead(const LeaseId& lease, const Result<StoreItem>& item) {
    is_calling_ = false;
    if (item) {
      const ControlRecord record = Decode(item->value);
      holder_ = record.holder;
      version_ = item->version;
      // A claim whose response was lost is also recognised here.
      const bool is_own = holder_ == settings_.self && record.lease == lease;
      held_lease_id_ = is_own ? lease : LeaseId();
      return;
    }
    if (item.error() != StoreError::kNotFound || is_released_) return;
    holder_ = IncarnationId();
    held_lease_id_ = LeaseId();
    Claim(lease);
  }

  void Claim(const LeaseId& lease) {
    is_calling_ = true;
    store_.put(
        key_, Encode({settings_.self, lease}), Version(), lease,
        settings_.timeout,
        [weak = weak_from_this(), lease](const Result<Version>& version) {
          const auto self = weak.lock();
          if (self == nullptr) return;
          self->is_calling_ = false;
          if (!version) return;
          self->holder_ = self->settings_.self;
          self->version_ = *version;
          self->held_lease_id_ = lease;
        });
  }

  Settings settings_;
  std::string key_;
  StoreClient store_;
  TimerService& timers_;
  std::function<std::optional<HeldLease>()> entry_lease_;
  std::function<double()> jitter_;

  LeaseId held_lease_id_;
  IncarnationId holder_;
  Version version_;
  Instant next_call_at_{};
  bool is_calling_ = false;
  bool is_released_ = false;
};

ControlLease::ControlLease(
    Settings settings, StoreClient store, TimerService& timers,
    std::function<std::optional<HeldLease>()> entry_lease,
    std::function<double()> jitter)
    : impl_(std::make_shared<Impl>(std::move(settings), std::move(store),
                                   timers, std::move(entry_lease),
                                   std::move(jitter))) {}

ControlLease::~ControlLease() = default;

void ControlLease::Tick() { impl_->Tick(); }
bool ControlLease::IsHeldFor(Duration margin) const {
  return impl_->IsHeldFor(margin);
}
void ControlLease::Release() { impl_->Release(); }
IncarnationId ControlLease::holder() const { return impl_->holder(); }

}  // namespace pomelomill
