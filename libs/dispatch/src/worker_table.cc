#include "worker_table.h"

#include <algorithm>

namespace pomelomill {
namespace {

void Subtract(std::uint32_t& from, std::uint32_t amount) {
  from -= std::min(from, amount);
}

bool IsFree(std::uint32_t amount, std::uint32_t used, std::uint32_t capacity) {
  return used <= capacity && amount <= capacity - used;
}

}  // namespace

bool PoolWorker::HasLabel(const std::string& label) const {
  return std::find(spec.labels.begin(), spec.labels.end(), label) !=
         spec.labels.end();
}

bool PoolWorker::Fits(const TaskSize& size) const {
  const TaskSize& all = spec.capacity;
  return IsFree(size.cpu_millis, used.cpu_millis, all.cpu_millis) &&
         IsFree(size.memory_mb, used.memory_mb, all.memory_mb) &&
         IsFree(size.gpus, used.gpus, all.gpus);
}

bool PoolWorker::CanEverFit(const TaskSize& size) const {
  return size.cpu_millis <= spec.capacity.cpu_millis &&
         size.memory_mb <= spec.capacity.memory_mb &&
         size.gpus <= spec.capacity.gpus;
}

TaskSize CountedSize(const StepSpec& step) {
  TaskSize size = step.size;
  if (step.fills_idle_cores) size.cpu_millis = 0;
  return size;
}

PoolWorker* WorkerTable::Find(const WorkerId& id) {
  const auto it = workers_.find(id);
  return it == workers_.end() ? nullptr : &it->second;
}

const PoolWorker* WorkerTable::Find(const WorkerId& id) const {
  const auto it = workers_.find(id);
  return it == workers_.end() ? nullptr : &it->second;
}

void WorkerTable::ReserveCapacity(PoolWorker& worker, const TaskKey& key,
                                  const StepSpec& step) {
  if (!worker.tasks.insert(key).second) return;
  worker.long_running_tasks += step.is_long_running ? 1 : 0;
  const TaskSize size = CountedSize(step);
  worker.used.cpu_millis += size.cpu_millis;
  worker.used.memory_mb += size.memory_mb;
  worker.used.gpus += size.gpus;
}

void WorkerTable::ReleaseCapacity(const WorkerId& id, const TaskKey& key,
                                  const StepSpec& step) {
  PoolWorker* const worker = Find(id);
  if (worker == nullptr || worker->tasks.erase(key) == 0) return;
  worker->crash_suspects.erase(key);
  Subtract(worker->long_running_tasks, step.is_long_running ? 1 : 0);
  const TaskSize size = CountedSize(step);
  Subtract(worker->used.cpu_millis, size.cpu_millis);
  Subtract(worker->used.memory_mb, size.memory_mb);
  Subtract(worker->used.gpus, size.gpus);
}

}  // namespace pomelomill
