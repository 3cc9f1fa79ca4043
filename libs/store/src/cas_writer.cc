#include "pomelomill/store/cas_writer.h"

#include <algorithm>
#include <utility>

#include "pomelomill/store/store_error.h"

namespace pomelomill {

class CasWriter::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const StoreClient& client, TimerService& timers, MarkReader reader,
       const CasWriterOptions& options)
      : client_(client),
        timers_(timers),
        reader_(std::move(reader)),
        options_(options) {}

  bool is_busy() const { return done_ != nullptr; }

  void Write(CasWrite write, StoreCallback<Version> done) {
    write_ = std::move(write);
    done_ = std::move(done);
    deadline_ = timers_.Now() + options_.timeout;
    pause_ = options_.first_pause;
    puts_ = 0;
    may_be_written_ = false;
    Put();
  }

  void Stop() {
    done_ = nullptr;
    timers_.Cancel(timer_);
  }

 private:
  Duration CallTimeout() const {
    return std::min(options_.call_timeout, deadline_ - timers_.Now());
  }

  bool is_over() const { return timers_.Now() >= deadline_; }

  void Put() {
    ++puts_;
    client_.put(
        write_.key, write_.value, write_.expect, write_.lease, CallTimeout(),
        Guarded<Version>([this](const Result<Version>& r) { OnPut(r); }));
  }

  void OnPut(const Result<Version>& result) {
    if (result) return Finish(*result);
    const std::error_code ec = result.error();
    if (!may_be_written_ && ec != StoreError::kOutcomeUnknown)
      return Finish(Unexpected(ec));
    // A later refusal says nothing about an earlier put of unknown outcome.
    may_be_written_ = true;
    if (ec == StoreError::kConflict) return ReadBack();
    Pause([this] { ReadBack(); });
  }

  void ReadBack() {
    if (is_over()) return Finish(Unexpected(StoreError::kOutcomeUnknown));
    client_.get(
        write_.key, CallTimeout(),
        Guarded<StoreItem>([this](const Result<StoreItem>& r) { OnRead(r); }));
  }

  void OnRead(const Result<StoreItem>& result) {
    StoreItem item;
    if (result) {
      item = *result;
    } else if (result.error() != StoreError::kNotFound) {
      return Pause([this] { ReadBack(); });
    }
    if (result && reader_(item.value) == write_.mark)
      return Finish(item.version);
    const Version next = write_.expect.Next();
    if (item.version == next) return Finish(Unexpected(StoreError::kConflict));
    if (item.version > next) {
      // This write may have come first and been replaced since.
      return Finish(Unexpected(StoreError::kOutcomeUnknown));
    }
    // The expected version, or a lagging read. A put that is still on its way
    // or that this read has missed makes the repeat fail on the version.
    if (puts_ < options_.max_puts) {
      Pause([this] { is_over() ? ReadBack() : Put(); });
    } else {
      Pause([this] { ReadBack(); });
    }
  }

  void Pause(std::function<void()> then) {
    timer_ = timers_.ScheduleAfter(
        pause_, [weak = weak_from_this(), then = std::move(then)] {
          const auto self = weak.lock();
          if (self != nullptr && self->is_busy()) then();
        });
    pause_ = std::min(pause_ * 2, options_.longest_pause);
  }

  /// Runs `then` unless the writer has gone or moved on since.
  template <typename T>
  StoreCallback<T> Guarded(StoreCallback<T> then) {
    return [weak = weak_from_this(), then = std::move(then),
            call = ++call_](Result<T> result) {
      const auto self = weak.lock();
      if (self != nullptr && self->is_busy() && self->call_ == call)
        then(std::move(result));
    };
  }

  void Finish(const Result<Version>& result) {
    const auto done = std::exchange(done_, nullptr);
    done(result);
  }

  const StoreClient& client_;
  TimerService& timers_;
  const MarkReader reader_;
  const CasWriterOptions options_;
  CasWrite write_;
  StoreCallback<Version> done_;
  Instant deadline_{};
  Duration pause_{};
  std::uint32_t puts_ = 0;
  std::uint64_t call_ = 0;
  bool may_be_written_ = false;
  TimerId timer_ = 0;
};

CasWriter::CasWriter(const StoreClient& client, TimerService& timers,
                     MarkReader reader, const CasWriterOptions& options)
    : impl_(
          std::make_shared<Impl>(client, timers, std::move(reader), options)) {}

CasWriter::~CasWriter() { impl_->Stop(); }

void CasWriter::Write(CasWrite write, StoreCallback<Version> done) {
  impl_->Write(std::move(write), std::move(done));
}

bool CasWriter::is_busy() const { return impl_->is_busy(); }

}  // namespace pomelomill
