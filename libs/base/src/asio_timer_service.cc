#include "pomelomill/base/asio_timer_service.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <ctime>
#include <map>
#include <utility>

namespace pomelomill {
namespace {

// The wait is re-armed at least this often: steady_timer does not count
// suspension, and a wait that was armed before a suspension would end late.
constexpr Duration kMaxWait = std::chrono::seconds(1);

}  // namespace

class AsioTimerService::Impl : public std::enable_shared_from_this<Impl> {
 public:
  explicit Impl(asio::io_context& context) : timer_(context) {}

  static Instant Now() {
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return Instant(std::chrono::seconds(ts.tv_sec) +
                   std::chrono::nanoseconds(ts.tv_nsec));
  }

  TimerId Schedule(Instant when, std::function<void()> callback) {
    const TimerId id = next_id_++;
    const bool is_first =
        timers_.empty() || when < timers_.begin()->first.first;
    timers_.emplace(std::make_pair(when, id), std::move(callback));
    times_.emplace(id, when);
    if (is_first) Arm();
    return id;
  }

  void Cancel(TimerId id) {
    const auto it = times_.find(id);
    if (it == times_.end()) return;
    timers_.erase({it->second, id});
    times_.erase(it);
  }

  void Stop() {
    timers_.clear();
    times_.clear();
    timer_.cancel();
  }

 private:
  void Arm() {
    if (timers_.empty()) return;
    const Duration wait =
        std::clamp(timers_.begin()->first.first - Now(), Duration(0), kMaxWait);
    timer_.expires_after(wait);
    timer_.async_wait([self = shared_from_this()](std::error_code ec) {
      if (!ec) self->RunDue();
    });
  }

  void RunDue() {
    // Timers that callbacks add for now run in the next round, so that a
    // callback that reschedules itself without delay cannot block the thread.
    const Instant now = Now();
    const TimerId end = next_id_;
    while (!timers_.empty()) {
      const auto first = timers_.begin();
      if (first->first.first > now || first->first.second >= end) break;
      auto node = timers_.extract(first);
      times_.erase(node.key().second);
      node.mapped()();
    }
    Arm();
  }

  asio::steady_timer timer_;
  TimerId next_id_ = 1;
  std::map<std::pair<Instant, TimerId>, std::function<void()>> timers_;
  std::map<TimerId, Instant> times_;
};

AsioTimerService::AsioTimerService(asio::io_context& context)
    : impl_(std::make_shared<Impl>(context)) {}

AsioTimerService::~AsioTimerService() { impl_->Stop(); }

Instant AsioTimerService::Now() const { return Impl::Now(); }

TimerId AsioTimerService::ScheduleAt(Instant when,
                                     std::function<void()> callback) {
  return impl_->Schedule(when, std::move(callback));
}

void AsioTimerService::Cancel(TimerId id) { impl_->Cancel(id); }

}  // namespace pomelomill
