#include "progress_reader.h"

#include <utility>

#include "store_keys.h"

namespace pomelomill {
namespace {

constexpr Duration kStoreTimeout = std::chrono::milliseconds(1500);
constexpr Duration kRetryDelay = std::chrono::milliseconds(100);

}  // namespace

class ProgressReader::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const TransactionClient& client, TimerService& timers, PoolId pool,
       ProgressReaderHooks hooks)
      : client_(client),
        timers_(timers),
        pool_(std::move(pool)),
        hooks_(std::move(hooks)) {}

  void Halt() {
    is_halted_ = true;
    hooks_ = {};
    timers_.Cancel(retry_timer_);
  }

  void Read() {
    client_.read_prefix(
        ProgressPrefix(pool_), kStoreTimeout,
        [weak = weak_from_this()](const Result<PrefixRead>& result) {
          const auto self = weak.lock();
          if (self == nullptr || self->is_halted_) return;
          if (!result) return self->ReadLater();
          self->OnRead(*result);
        });
  }

 private:
  void ReadLater() {
    retry_timer_ =
        timers_.ScheduleAfter(kRetryDelay, [weak = weak_from_this()] {
          const auto self = weak.lock();
          if (self != nullptr && !self->is_halted_) self->Read();
        });
  }

  void OnRead(const PrefixRead& read) {
    const std::size_t prefix = ProgressPrefix(pool_).size();
    for (const StoredKey& it : read.items) {
      StoredProgress record{.job = JobId(it.key.substr(prefix)),
                            .version = it.version};
      if (auto progress = DecodeJobProgress(it.value)) {
        record.progress = *std::move(progress);
      } else {
        hooks_.on_bad_record(it.key);
      }
      hooks_.on_record(std::move(record));
    }
    hooks_.on_loaded();
  }

  const TransactionClient& client_;
  TimerService& timers_;
  const PoolId pool_;
  ProgressReaderHooks hooks_;
  TimerId retry_timer_ = 0;
  bool is_halted_ = false;
};

ProgressReader::ProgressReader(const TransactionClient& client,
                               TimerService& timers, PoolId pool,
                               ProgressReaderHooks hooks)
    : impl_(std::make_shared<Impl>(client, timers, std::move(pool),
                                   std::move(hooks))) {}
ProgressReader::~ProgressReader() { impl_->Halt(); }

void ProgressReader::Start() { impl_->Read(); }

}  // namespace pomelomill
