#include "pomelomill/entry/registrar.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "pomelomill/base/timer_service.h"
#include "pomelomill/store/lease_keeper.h"

namespace pomelomill {
namespace {

std::string Encode(const MemberInfo& info, const std::string& admin_address,
                   const LeaseId& lease) {
  return nlohmann::json{{"entry", info.entry.value()},
                        {"incarnation", info.incarnation.value()},
                        {"region", info.region.value()},
                        {"address", info.address},
                        {"admin", admin_address},
                        {"lease", lease.value()}}
      .dump();
}

std::string Field(const nlohmann::json& json, const char* name) {
  if (!json.is_object()) return "";
  const auto it = json.find(name);
  return it != json.end() && it->is_string() ? it->get<std::string>() : "";
}

}  // namespace

std::string EntryKeyPrefix(const RegionId& region) {
  return "regions/" + region.value() + "/entries/";
}

std::vector<MemberInfo> MembersOf(const std::vector<StoreItem>& listing) {
  std::vector<MemberInfo> members;
  for (const StoreItem& item : listing) {
    const auto json = nlohmann::json::parse(item.value, nullptr, false);
    MemberInfo info{.entry = EntryId(Field(json, "entry")),
                    .incarnation = IncarnationId(Field(json, "incarnation")),
                    .region = RegionId(Field(json, "region")),
                    .address = Field(json, "address"),
                    .registration = item.version};
    if (info.entry.empty() || info.incarnation.empty()) continue;
    members.push_back(std::move(info));
  }
  return members;
}

std::map<IncarnationId, std::string> AdminAddressesOf(
    const std::vector<StoreItem>& listing) {
  std::map<IncarnationId, std::string> addresses;
  for (const StoreItem& item : listing) {
    const auto json = nlohmann::json::parse(item.value, nullptr, false);
    const IncarnationId incarnation(Field(json, "incarnation"));
    std::string address = Field(json, "admin");
    if (incarnation.empty() || address.empty()) continue;
    addresses.emplace(incarnation, std::move(address));
  }
  return addresses;
}

class Registrar::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(Settings settings, StoreClient store, TimerService& timers, Hooks hooks)
      : settings_(std::move(settings)),
        key_(EntryKeyPrefix(settings_.self.region) +
             settings_.self.entry.value()),
        store_(std::move(store)),
        timers_(timers),
        hooks_(std::move(hooks)),
        keeper_(store_, timers_, KeeperOptions(),
                {.on_held = [this](const LeaseId& id) { Held(id); },
                 .on_uncertain = {},
                 .on_lapsed = [this] { Lapsed(); }}) {}

  void Start() { keeper_.Start(); }

  void Stop(std::function<void()> done) {
    Halt();
    keeper_.Stop(std::move(done));
  }

  void Halt() {
    is_stopped_ = true;
    timers_.Cancel(timer_);
  }

  std::optional<HeldLease> lease() const {
    if (!IsRegistered() || !keeper_.is_held()) return std::nullopt;
    return HeldLease{keeper_.lease(), keeper_.held_until()};
  }

  std::optional<Instant> lease_sent() const {
    if (!IsRegistered()) return std::nullopt;
    return Sent();
  }

 private:
  LeaseKeeperOptions KeeperOptions() const {
    return {.ttl = settings_.ttl, .call_timeout = settings_.timeout};
  }

  Instant Sent() const {
    const LeaseKeeperOptions options = KeeperOptions();
    return keeper_.held_until() + options.drift_margin - options.ttl;
  }

  bool IsRegistered() const {
    return !key_lease_.empty() && key_lease_ == keeper_.lease();
  }

  void Held(const LeaseId& id) {
    if (id != key_lease_) CreateKey();
  }

  void Lapsed() {
    key_lease_ = LeaseId();
    hooks_.lapsed();
  }

  template <typename T, typename F>
  StoreCallback<T> Guard(F handler) {
    return [weak = weak_from_this(),
            handler = std::move(handler)](const Result<T>& result) {
      const auto self = weak.lock();
      if (self && !self->is_stopped_) handler(result);
    };
  }

  void Retry(void (Impl::*step)()) {
    timers_.Cancel(timer_);
    timer_ =
        timers_.ScheduleAfter(settings_.retry, [weak = weak_from_this(), step] {
          const auto self = weak.lock();
          if (self && !self->is_stopped_) (self.get()->*step)();
        });
  }

  void CreateKey() {
    const LeaseId lease = keeper_.lease();
    if (lease.empty()) return;
    store_.put(key_, Encode(settings_.self, settings_.admin_address, lease),
               Version(), lease, settings_.timeout,
               Guard<Version>([this, lease](const Result<Version>& version) {
                 if (version) {
                   Registered(lease, *version);
                 } else if (lease == keeper_.lease()) {
                   // Either the key of an earlier incarnation still exists,
                   // or the response to the own write was lost.
                   Retry(&Impl::ReadKey);
                 }
               }));
  }

  void ReadKey() {
    const LeaseId lease = keeper_.lease();
    store_.get(key_, settings_.timeout,
               Guard<StoreItem>([this, lease](const Result<StoreItem>& item) {
                 if (item && IsOwn(item->value, lease)) {
                   Registered(lease, item->version);
                 } else {
                   Retry(&Impl::CreateKey);
                 }
               }));
  }

  bool IsOwn(const std::string& value, const LeaseId& lease) const {
    const auto json = nlohmann::json::parse(value, nullptr, false);
    return Field(json, "incarnation") == settings_.self.incarnation.value() &&
           Field(json, "lease") == lease.value();
  }

  void Registered(const LeaseId& lease, Version version) {
    if (lease != keeper_.lease()) return;
    key_lease_ = lease;
    hooks_.registered(Sent(), version);
  }

  Settings settings_;
  std::string key_;
  StoreClient store_;
  TimerService& timers_;
  Hooks hooks_;
  LeaseKeeper keeper_;
  /// The lease that the key is attached to; empty while there is no key.
  LeaseId key_lease_;
  TimerId timer_ = 0;
  bool is_stopped_ = false;
};

Registrar::Registrar(Settings settings, StoreClient store, TimerService& timers,
                     Hooks hooks)
    : impl_(std::make_shared<Impl>(std::move(settings), std::move(store),
                                   timers, std::move(hooks))) {}

Registrar::~Registrar() { impl_->Halt(); }

void Registrar::Start() { impl_->Start(); }
void Registrar::Stop(std::function<void()> done) {
  impl_->Stop(std::move(done));
}
std::optional<HeldLease> Registrar::lease() const { return impl_->lease(); }
std::optional<Instant> Registrar::lease_sent() const {
  return impl_->lease_sent();
}

}  // namespace pomelomill
