#include "pomelomill/store/adaptive_committer.h"

#include <utility>

#include "pomelomill/store/store_error.h"

namespace pomelomill {

void AdaptiveCommitter::Commit(Transaction transaction,
                               StoreCallback<CommitResult> done) {
  client_.commit(
      std::move(transaction), timeout_->current(),
      [timeout = timeout_, &timers = timers_, sent_at = timers_.Now(),
       done = std::move(done)](Result<CommitResult> result) {
        if (result) {
          timeout->OnAnswer(timers.Now() - sent_at);
        } else if (result.error() == StoreError::kOutcomeUnknown) {
          timeout->OnNoAnswer();
        }
        done(std::move(result));
      });
}

}  // namespace pomelomill
