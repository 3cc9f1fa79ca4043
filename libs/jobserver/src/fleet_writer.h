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
  /// The fleet's owner key belongs to somebody else.
  std::function<void()> on_lost;
  std::function<void(std::error_code)> on_retry;
};

/// Stores the latest value of each key, in batches of which one is under way
/// at a time. Each batch also changes one common key, whose version is its
/// condition: a batch that the store carries out late changes nothing.
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
