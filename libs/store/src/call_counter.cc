#include "pomelomill/store/call_counter.h"

#include <utility>

#include "pomelomill/store/store_error.h"
#include "wrap_client.h"

namespace pomelomill {
namespace {

void CountResult(CallCount& count, std::error_code ec) {
  if (!ec) {
    ++count.succeeded;
  } else if (ec == StoreError::kUnavailable) {
    ++count.unavailable;
  } else if (ec == StoreError::kRateLimited) {
    ++count.rate_limited;
  } else if (ec == StoreError::kOutcomeUnknown ||
             ec == StoreError::kBadResponse) {
    ++count.unknown;
  } else {
    ++count.refused;
  }
}

struct CounterPolicy {
  std::shared_ptr<CallCounter> counter;

  template <typename T, typename Start>
  void Run(StoreCallKind call, Duration, StoreCallback<T> done,
           const Start& start) const {
    ++counter->count(call).started;
    start(StoreCallback<T>(
        [all = counter, call, done = std::move(done)](Result<T> r) {
          CountResult(all->count(call), r ? std::error_code() : r.error());
          done(std::move(r));
        }));
  }
};

}  // namespace

std::uint64_t CallCounter::started() const {
  std::uint64_t sum = 0;
  for (const CallCount& it : counts_) sum += it.started;
  return sum;
}

StoreClient WithCounter(StoreClient inner,
                        std::shared_ptr<CallCounter> counter) {
  return WrapClient(std::move(inner), CounterPolicy{std::move(counter)});
}

}  // namespace pomelomill
