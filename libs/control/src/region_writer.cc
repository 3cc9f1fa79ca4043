#include "pomelomill/control/region_writer.h"

#include <utility>
#include <vector>

#include "pomelomill/control/control_error.h"
#include "pomelomill/platform/region_state_json.h"
#include "pomelomill/store/store_error.h"

namespace pomelomill {

std::string RegionStateKey(const RegionId& region) {
  return "regions/" + region.value() + "/state";
}

class RegionWriter::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(StoreClient store, RegionId region, IncarnationId writer,
       Observer observer, Duration timeout)
      : store_(std::move(store)),
        region_(std::move(region)),
        writer_(std::move(writer)),
        observer_(std::move(observer)),
        timeout_(timeout) {}

  void TakeOver(std::function<void(Status)> done) {
    StepDown();
    Read([this, done = std::move(done)](
             Result<std::pair<RegionState, Version>> read) {
      if (!read) {
        done(Unexpected(read.error()));
        return;
      }
      auto [state, version] = std::move(*read);
      state.region = region_;
      state.epoch = state.epoch.Next();
      state.writer = writer_;
      // Each write needs a sequence number of its own: a holder that takes
      // over again after a store outage has the same incarnation, so `writer`
      // alone does not tell its writes apart.
      ++state.sequence;
      epoch_ = state.epoch;
      Write(std::move(state), version, [this, done](Status status) {
        if (status) is_holder_ = true;
        done(status);
      });
    });
  }

  void Propose(Change change) {
    if (is_holder_) pending_changes_.push_back(std::move(change));
  }

  void Flush() {
    if (!is_holder_ || is_calling_) return;
    if (is_outcome_unknown_) {
      ResolveUnknownWrite();
      return;
    }
    if (pending_changes_.empty()) return;
    RegionState next = *state_;
    for (const Change& change : std::exchange(pending_changes_, {}))
      change(&next, version_.Next());
    if (next == *state_) return;
    ++next.sequence;
    Write(std::move(next), version_, [](const Status&) {});
  }

  void StepDown() {
    is_holder_ = false;
    is_outcome_unknown_ = false;
    is_calling_ = false;
    pending_changes_.clear();
    ++term_;
  }

  bool is_holder() const { return is_holder_; }
  bool is_busy() const {
    return is_calling_ || is_outcome_unknown_ || !pending_changes_.empty();
  }
  std::shared_ptr<const RegionState> state() const { return state_; }
  Version version() const { return version_; }
  std::size_t value_size() const { return value_size_; }

 private:
  using ReadDone = std::function<void(Result<std::pair<RegionState, Version>>)>;

  /// Wraps a response handler so that it runs only if this object still exists
  /// and has not stepped down since the call.
  template <typename T, typename F>
  StoreCallback<T> Guard(F handler) {
    is_calling_ = true;
    return [weak = weak_from_this(), term = term_,
            handler = std::move(handler)](Result<T> result) {
      const auto self = weak.lock();
      if (self == nullptr || self->term_ != term) return;
      self->is_calling_ = false;
      handler(std::move(result));
    };
  }

  void Read(ReadDone done) {
    store_.get(
        RegionStateKey(region_), timeout_,
        Guard<StoreItem>([done = std::move(done)](Result<StoreItem> item) {
          if (!item) {
            if (item.error() == StoreError::kNotFound) {
              done(std::pair(RegionState{}, Version()));
            } else {
              done(Unexpected(ControlError::kStoreFailed));
            }
            return;
          }
          auto state = RegionStateFromJson(item->value);
          if (!state) {
            done(Unexpected(ControlError::kBadRegionState));
            return;
          }
          done(std::pair(std::move(*state), item->version));
        }));
  }

  void Write(RegionState next, Version expect,
             std::function<void(Status)> done) {
    std::string text = ToJson(next);
    value_size_ = text.size();
    auto shared = std::make_shared<const RegionState>(std::move(next));
    store_.put(RegionStateKey(region_), std::move(text), expect, LeaseId(),
               timeout_,
               Guard<Version>([this, shared, done = std::move(done)](
                                  const Result<Version>& version) {
                 if (version) {
                   SetCurrentState(shared, *version);
                   done({});
                   return;
                 }
                 // The value is read back after a conflict as well, because
                 // the conflicting value may be an earlier write of this holder
                 // that took effect late.
                 is_outcome_unknown_ = true;
                 done(Unexpected(version.error() == StoreError::kConflict
                                     ? ControlError::kSuperseded
                                     : ControlError::kStoreFailed));
               }));
  }

  void ResolveUnknownWrite() {
    Read([this](Result<std::pair<RegionState, Version>> read) {
      if (!read) return;
      auto& [state, version] = *read;
      if (state.epoch != epoch_ || state.writer != writer_) {
        StepDown();
        return;
      }
      is_outcome_unknown_ = false;
      pending_changes_.clear();
      if (version > version_)
        SetCurrentState(std::make_shared<const RegionState>(std::move(state)),
                        version);
    });
  }

  void SetCurrentState(std::shared_ptr<const RegionState> state,
                       Version version) {
    state_ = std::move(state);
    version_ = version;
    if (observer_) observer_(state_, version_);
  }

  StoreClient store_;
  RegionId region_;
  IncarnationId writer_;
  Observer observer_;
  Duration timeout_;

  std::shared_ptr<const RegionState> state_;
  Version version_;
  Epoch epoch_;
  std::vector<Change> pending_changes_;
  bool is_holder_ = false;
  bool is_calling_ = false;
  bool is_outcome_unknown_ = false;
  /// Incremented by each step-down, so that responses from before are ignored.
  std::uint64_t term_ = 0;
  std::size_t value_size_ = 0;
};

RegionWriter::RegionWriter(StoreClient store, RegionId region,
                           IncarnationId writer, Observer observer,
                           Duration timeout)
    : impl_(std::make_shared<Impl>(std::move(store), std::move(region),
                                   std::move(writer), std::move(observer),
                                   timeout)) {}

RegionWriter::~RegionWriter() = default;

void RegionWriter::TakeOver(std::function<void(Status)> done) {
  impl_->TakeOver(std::move(done));
}
void RegionWriter::Propose(Change change) { impl_->Propose(std::move(change)); }
void RegionWriter::Flush() { impl_->Flush(); }
void RegionWriter::StepDown() { impl_->StepDown(); }
bool RegionWriter::is_holder() const { return impl_->is_holder(); }
bool RegionWriter::is_busy() const { return impl_->is_busy(); }
std::shared_ptr<const RegionState> RegionWriter::state() const {
  return impl_->state();
}
Version RegionWriter::version() const { return impl_->version(); }
std::size_t RegionWriter::value_size() const { return impl_->value_size(); }

}  // namespace pomelomill
