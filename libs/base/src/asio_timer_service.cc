#include "pomelomill/base/asio_timer_service.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
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
    const Instant first = timers_.begin()->first.first;
    const Instant now = Now();
    if (first <= now) return PostRun();
    // A wait that ends earlier arms the next one itself. Each change of the
    // wait costs a system call, and most timers are cancelled or moved before
    // they are due.
    if (is_waiting_ && wait_ends_at_ > now && wait_ends_at_ <= first) return;
    wait_ends_at_ = std::min(first, now + kMaxWait);
    is_waiting_ = true;
    timer_.expires_after(wait_ends_at_ - now);
    timer_.async_wait([self = shared_from_this()](std::error_code ec) {
      if (ec) return;
      self->is_waiting_ = false;
      self->RunDue();
    });
  }

  void PostRun() {
    if (std::exchange(is_run_posted_, true)) return;
    asio::post(timer_.get_executor(), [self = shared_from_this()] {
      self->is_run_posted_ = false;
      self->RunDue();
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
  /// Whether timer_ is waiting, and the time at which it is to end.
  bool is_waiting_ = false;
  Instant wait_ends_at_{};
  bool is_run_posted_ = false;
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
