#include "pomelomill/store/adaptive_committer.h"

#include <doctest/doctest.h>

#include <utility>
#include <vector>

#include "pomelomill/base/virtual_timer_service.h"
#include "pomelomill/store/store_error.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A store that answers after a time, or loses the answers.
class Store {
 public:
  Store() {
    client_.commit = [this](const Transaction&, Duration timeout,
                            StoreCallback<CommitResult> done) {
      timeouts.push_back(timeout);
      const bool is_answered = !loses_answers && answer_time <= timeout;
      timers.ScheduleAfter(
          is_answered ? answer_time : timeout,
          [is_answered, done = std::move(done)] {
            if (is_answered) return done(CommitResult{.is_committed = true});
            done(tl::unexpected(make_error_code(StoreError::kOutcomeUnknown)));
          });
    };
  }

  void Commit() {
    committer_.Commit({}, [](const Result<CommitResult>&) {});
    timers.Advance(seconds(1));
  }

  VirtualTimerService timers;
  Duration answer_time = milliseconds(4);
  bool loses_answers = false;
  std::vector<Duration> timeouts;

 private:
  TransactionClient client_;
  AdaptiveCommitter committer_{client_, timers};
};

}  // namespace

// Replays a store that loses a part of its answers, as on the own day
// late-orders, where a writer waited 0.9 s or more for each lost one.
TEST_CASE("a lost answer of a quick store is noticed soon") {
  Store store;
  for (int i = 0; i < 20; ++i) store.Commit();
  store.loses_answers = true;
  store.Commit();
  CHECK(store.timeouts.back() <= milliseconds(200));
}

// Guards against a store that is never given the time that it takes.
TEST_CASE("a store that has become slow is waited for") {
  Store store;
  for (int i = 0; i < 20; ++i) store.Commit();
  store.answer_time = milliseconds(500);
  int commits = 0;
  do {
    store.Commit();
    ++commits;
  } while (store.timeouts.back() < store.answer_time);
  CHECK(commits <= 4);
  for (int i = 0; i < 20; ++i) store.Commit();
  CHECK(store.timeouts.back() >= store.answer_time);
}

}  // namespace pomelomill
