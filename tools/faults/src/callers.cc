#include "callers.h"

#include <memory>
#include <utility>

#include "text.h"

namespace pomelomill::faults {
namespace {

constexpr Duration kCancelAfter = std::chrono::milliseconds(30);
constexpr Duration kRepeatAfter = std::chrono::milliseconds(300);

struct Arrival {
  CallerLoad load;
  bool is_cancelled = false;
  std::string key;
};

void Arrive(World& world, const Arrival& arrival,
            const std::vector<EntryDoor>& doors, std::size_t first) {
  for (std::size_t i = 0; i < doors.size(); ++i) {
    const EntryDoor& door = doors[(first + i) % doors.size()];
    if (!door.process->is_running()) continue;
    if (door.is_ready && !door.is_ready()) continue;
    const std::size_t index = world.evidence.requests.size();
    CallerRequest request;
    request.id = Text("r", index + 1);
    request.key = arrival.key;
    request.queue = arrival.load.queue;
    request.deadline = arrival.load.deadline;
    request.entry = door.process->name();
    request.is_repeatable = arrival.load.is_repeatable;
    request.sent = world.timers.Now();
    request.is_cancelled = arrival.is_cancelled;
    world.evidence.requests.push_back(std::move(request));
    const std::uint64_t run = door.process->run();
    door.process->RunInside(run, [accept = door.accept, index,
                                  service_time = arrival.load.service_time] {
      accept(index, service_time);
    });
    if (arrival.is_cancelled) {
      world.timers.ScheduleAfter(kCancelAfter, [door, run, index] {
        door.process->RunInside(run, [door, index] { door.cancel(index); });
      });
    }
    return;
  }
}

}  // namespace

void ScheduleCallers(World& world, const std::vector<CallerLoad>& loads,
                     const std::vector<EntryDoor>& doors, Instant from,
                     Instant to) {
  const auto shared = std::make_shared<std::vector<EntryDoor>>(doors);
  std::size_t turn = 0;
  for (const CallerLoad& load : loads) {
    Instant at = from;
    while (true) {
      const double gap_s = world.random.Exponential(1 / load.rate);
      at += std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(gap_s));
      if (at >= to) break;
      Arrival arrival{load, world.random.Chance(load.cancelled_share), {}};
      const std::size_t first = turn++;
      if (load.is_keyed) {
        arrival.key = Text("key-", first);
        world.timers.ScheduleAt(at + kRepeatAfter,
                                [&world, shared, arrival, first] {
                                  Arrive(world, arrival, *shared, first + 1);
                                });
      }
      world.timers.ScheduleAt(at, [&world, shared, arrival, first] {
        Arrive(world, arrival, *shared, first);
      });
    }
  }
}

}  // namespace pomelomill::faults
