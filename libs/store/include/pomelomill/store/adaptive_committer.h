#pragma once

#include <memory>

#include "pomelomill/base/timer_service.h"
#include "pomelomill/store/answer_timeout.h"
#include "pomelomill/store/transaction_client.h"

namespace pomelomill {

/// Commits transactions with a timeout that follows the store's response times.
/// For transactions that the caller may repeat without harm when their outcome
/// is unknown.
class AdaptiveCommitter {
 public:
  /// Both arguments must outlive the calls.
  AdaptiveCommitter(const TransactionClient& client, TimerService& timers)
      : client_(client), timers_(timers) {}

  /// As TransactionClient::commit.
  void Commit(Transaction transaction, StoreCallback<CommitResult> done);

 private:
  const TransactionClient& client_;
  TimerService& timers_;
  /// Shared with the callbacks of calls that outlive this object.
  std::shared_ptr<AnswerTimeout> timeout_ = std::make_shared<AnswerTimeout>(
      std::chrono::milliseconds(150), std::chrono::milliseconds(900));
};

}  // namespace pomelomill
