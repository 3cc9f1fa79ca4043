#pragma once

#include <functional>
#include <memory>
#include <string>
#include <system_error>

#include "pomelomill/base/timer_service.h"
#include "pomelomill/jobserver/worker_calls.h"
#include "pomelomill/store/transaction_client.h"

namespace pomelomill {

struct FleetWriterHooks {
  /// The fleet has another owner.
  std::function<void()> on_lost;
  /// A batch could not be stored and will be written again.
  std::function<void(std::error_code)> on_retry;
};

/// Stores the latest value of each key in batches, one batch at a time. Each
/// batch also writes one common key and is conditional on the version of that
/// key, so that a batch that the store carries out late changes nothing.
class FleetWriter {
 public:
  FleetWriter(const TransactionClient& client, TimerService& timers,
              FencingToken token, FleetWriterHooks hooks);
  ~FleetWriter();
  FleetWriter(const FleetWriter&) = delete;
  FleetWriter& operator=(const FleetWriter&) = delete;

  void Write(const std::string& key, std::string value);
  void Remove(const std::string& key);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
