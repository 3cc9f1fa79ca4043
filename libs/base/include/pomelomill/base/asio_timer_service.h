#pragma once

#include <memory>

#include "pomelomill/base/timer_service.h"

namespace asio {
class io_context;
}

namespace pomelomill {

/// Time of the running machine (CLOCK_BOOTTIME, Linux clock_gettime(2)), with
/// timers on an Asio context. Use from the thread that runs the context.
class AsioTimerService : public TimerService {
 public:
  explicit AsioTimerService(asio::io_context& context);
  ~AsioTimerService() override;

  Instant Now() const override;
  TimerId ScheduleAt(Instant when, std::function<void()> callback) override;
  void Cancel(TimerId id) override;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
