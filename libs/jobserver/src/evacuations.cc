#include "evacuations.h"

#include <memory>
#include <utility>

#include "store_keys.h"

namespace pomelomill {
namespace {

constexpr Duration kStoreTimeout = std::chrono::milliseconds(1500);

}  // namespace

Evacuations::Evacuations(const TransactionClient& client, PoolId pool,
                         FencingToken token, EvacuationsHooks hooks)
    : client_(client),
      pool_(std::move(pool)),
      token_(token),
      hooks_(std::move(hooks)),
      self_(std::make_shared<Evacuations*>(this)) {}

void Evacuations::Add(const WorkerId& worker, const std::string& request) {
  requests_[worker] = {.text = request};
}

void Evacuations::Remove(const WorkerId& worker) { requests_.erase(worker); }

void Evacuations::Report() {
  for (auto& [worker, request] : requests_) {
    if (request.is_reported || !hooks_.is_empty(worker)) continue;
    request.is_reported = true;
    Transaction transaction;
    transaction.expectations = {{OwnerKey(pool_), Version(token_.value())}};
    transaction.writes = {{EvacuatedKey(pool_, worker), request.text, {}}};
    client_.commit(std::move(transaction), kStoreTimeout,
                   [weak = std::weak_ptr<Evacuations*>(self_),
                    id = worker](const Result<CommitResult>& result) {
                     const auto self = weak.lock();
                     if (self != nullptr) (*self)->OnStored(id, result);
                   });
  }
}

void Evacuations::OnStored(const WorkerId& worker,
                           const Result<CommitResult>& result) {
  const bool is_stored = result && result->is_committed;
  hooks_.on_answer(worker, is_stored);
  if (is_stored) return;
  if (const auto it = requests_.find(worker); it != requests_.end())
    it->second.is_reported = false;
  hooks_.on_retry();
}

}  // namespace pomelomill
