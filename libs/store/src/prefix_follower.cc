#include "pomelomill/store/prefix_follower.h"

#include <algorithm>
#include <map>
#include <utility>

#include "pomelomill/store/store_error.h"

namespace pomelomill {

class PrefixFollower::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const TransactionClient& client, TimerService& timers,
       std::string prefix, PrefixFollowerHooks hooks,
       const PrefixFollowerOptions& options)
      : client_(client),
        timers_(timers),
        prefix_(std::move(prefix)),
        hooks_(std::move(hooks)),
        options_(options),
        pause_(options.first_pause) {}

  void Start() { Read(); }

  void Halt() {
    is_halted_ = true;
    hooks_ = {};
    timers_.Cancel(timer_);
  }

  bool is_loaded() const { return is_loaded_; }
  std::optional<Instant> last_contact() const { return last_contact_; }

 private:
  void Read() {
    client_.read_prefix(prefix_, options_.read_timeout,
                        [weak = weak_from_this()](Result<PrefixRead> result) {
                          const auto self = weak.lock();
                          if (self != nullptr && !self->is_halted_)
                            self->OnRead(std::move(result));
                        });
  }

  void Watch() {
    client_.watch_prefix(prefix_, version_, options_.wait,
                         [weak = weak_from_this()](Result<PrefixRead> result) {
                           const auto self = weak.lock();
                           if (self != nullptr && !self->is_halted_)
                             self->OnWatched(std::move(result));
                         });
  }

  void OnRead(Result<PrefixRead> result) {
    if (!result) return OnFailure(result.error(), &Impl::Read);
    OnContact();
    std::map<std::string, Version> missing = known_;
    for (const StoredKey& it : result->items) {
      missing.erase(it.key);
      Deliver(it);
      if (is_halted_) return;
    }
    for (const auto& [key, version] : missing) {
      // Changed after the first page was read: the watch tells.
      if (version > result->version) continue;
      Deliver({.key = key, .version = result->version, .is_removed = true});
      if (is_halted_) return;
    }
    version_ = result->version;
    if (!std::exchange(is_loaded_, true) && hooks_.on_loaded)
      hooks_.on_loaded();
    if (!is_halted_) Watch();
  }

  void OnWatched(Result<PrefixRead> result) {
    if (!result && result.error() == StoreError::kHistoryLost) return Read();
    if (!result) return OnFailure(result.error(), &Impl::Watch);
    OnContact();
    for (const StoredKey& it : result->items) {
      Deliver(it);
      if (is_halted_) return;
    }
    version_ = std::max(version_, result->version);
    Watch();
  }

  void Deliver(const StoredKey& item) {
    Version& known = known_[item.key];
    if (item.version <= known) return;
    known = item.version;
    if (item.is_removed) known_.erase(item.key);
    if (hooks_.on_change) hooks_.on_change(item);
  }

  void OnContact() {
    last_contact_ = timers_.Now();
    pause_ = options_.first_pause;
    if (std::exchange(is_lost_, false) && hooks_.on_regained)
      hooks_.on_regained();
  }

  void OnFailure(std::error_code ec, void (Impl::*again)()) {
    if (!std::exchange(is_lost_, true) && hooks_.on_lost) hooks_.on_lost(ec);
    if (is_halted_) return;
    timer_ = timers_.ScheduleAfter(pause_, [weak = weak_from_this(), again] {
      const auto self = weak.lock();
      if (self != nullptr && !self->is_halted_) (self.get()->*again)();
    });
    pause_ = std::min(pause_ * 2, options_.longest_pause);
  }

  const TransactionClient& client_;
  TimerService& timers_;
  const std::string prefix_;
  PrefixFollowerHooks hooks_;
  const PrefixFollowerOptions options_;
  Duration pause_;
  std::map<std::string, Version> known_;
  Version version_;
  std::optional<Instant> last_contact_;
  TimerId timer_ = 0;
  bool is_loaded_ = false;
  bool is_lost_ = false;
  bool is_halted_ = false;
};

PrefixFollower::PrefixFollower(const TransactionClient& client,
                               TimerService& timers, std::string prefix,
                               PrefixFollowerHooks hooks,
                               const PrefixFollowerOptions& options)
    : impl_(std::make_shared<Impl>(client, timers, std::move(prefix),
                                   std::move(hooks), options)) {}

PrefixFollower::~PrefixFollower() { impl_->Halt(); }

void PrefixFollower::Start() { impl_->Start(); }
bool PrefixFollower::is_loaded() const { return impl_->is_loaded(); }
std::optional<Instant> PrefixFollower::last_contact() const {
  return impl_->last_contact();
}

}  // namespace pomelomill
