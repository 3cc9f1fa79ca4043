#include "pomelomill/store/key_watcher.h"

#include <algorithm>
#include <utility>

namespace pomelomill {

class KeyWatcher::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const StoreClient& client, TimerService& timers, std::string key,
       Deliver deliver, const KeyWatcherOptions& options)
      : client_(client),
        timers_(timers),
        key_(std::move(key)),
        deliver_(std::move(deliver)),
        options_(options),
        pause_(options.first_pause) {}

  void Watch() {
    client_.watch(key_, version_, options_.wait,
                  [weak = weak_from_this()](const Result<StoreItem>& r) {
                    const auto self = weak.lock();
                    if (self != nullptr && !self->is_stopped_)
                      self->OnResult(r);
                  });
  }

  bool Offer(const StoreItem& item) {
    if (item.version <= version_) return false;
    version_ = item.version;
    deliver_(item);
    return true;
  }

  void Stop() {
    is_stopped_ = true;
    timers_.Cancel(timer_);
  }

  Version version() const { return version_; }
  std::optional<Instant> last_contact() const { return last_contact_; }

 private:
  void OnResult(const Result<StoreItem>& result) {
    const Instant now = timers_.Now();
    if (!result) {
      timer_ = Later(pause_);
      pause_ = std::min(pause_ * 2, options_.longest_pause);
      return;
    }
    last_contact_ = now;
    const bool is_new = Offer(*result);
    // The delivery may have stopped this watcher.
    if (is_stopped_) return;
    const bool is_lagging = !is_new && result->version.value() != 0;
    if (is_lagging) {
      // A store that answers at once with an old version would otherwise be
      // called without pause.
      timer_ = Later(options_.first_pause);
      return;
    }
    pause_ = options_.first_pause;
    timer_ = Later(Duration(0));
  }

  TimerId Later(Duration pause) {
    return timers_.ScheduleAfter(pause, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self != nullptr && !self->is_stopped_) self->Watch();
    });
  }

  const StoreClient& client_;
  TimerService& timers_;
  const std::string key_;
  const Deliver deliver_;
  const KeyWatcherOptions options_;
  Version version_;
  std::optional<Instant> last_contact_;
  Duration pause_;
  bool is_stopped_ = false;
  TimerId timer_ = 0;
};

KeyWatcher::KeyWatcher(const StoreClient& client, TimerService& timers,
                       std::string key, Deliver deliver,
                       const KeyWatcherOptions& options)
    : impl_(std::make_shared<Impl>(client, timers, std::move(key),
                                   std::move(deliver), options)) {}

KeyWatcher::~KeyWatcher() { impl_->Stop(); }

void KeyWatcher::Start() { impl_->Watch(); }

bool KeyWatcher::Offer(const StoreItem& item) { return impl_->Offer(item); }

Version KeyWatcher::version() const { return impl_->version(); }

std::optional<Instant> KeyWatcher::last_contact() const {
  return impl_->last_contact();
}

}  // namespace pomelomill
