#include "pomelomill/config/parse.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

#include "choices.h"
#include "ini_document.h"
#include "section_reader.h"
#include "values.h"

namespace pomelomill {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint32_t kMaxVmsPerPool = 10'000;
constexpr std::uint32_t kMaxSlots = 1'024;
constexpr double kMaxRate = 1e6;
constexpr Duration kMaxDuration = hours(24 * 7 * 520);

class Parser {
 public:
  Parser(std::string_view text, const std::string& file)
      : file_(file), sections_(ReadIni(text, file, errors_)) {
    readers_.reserve(sections_.size());
  }

  tl::expected<Declarations, std::vector<Diagnostic>> Run() {
    for (const IniSection& section : sections_) ReadSection(section);
    // A file that is too large has no sections, and needs no second error.
    if (!has_fleet_ && !(sections_.empty() && !errors_.empty()))
      errors_.push_back({file_, 0, "[fleet]", "the section is required"});
    for (const auto& check : checks_) check();
    if (errors_.empty()) return std::move(result_);
    std::stable_sort(errors_.begin(), errors_.end(),
                     [](const Diagnostic& a, const Diagnostic& b) {
                       return a.line < b.line;
                     });
    return tl::unexpected(std::move(errors_));
  }

 private:
  void ReadSection(const IniSection& section) {
    SectionReader& reader = readers_.emplace_back(section, file_, errors_);
    const std::string& kind = section.kind;
    if (kind == "fleet") {
      if (!section.name.empty()) reader.Report("", "takes no name");
      ReadFleet(reader);
    } else if (kind == "queue") {
      ReadQueue(reader);
    } else if (kind == "region" || kind == "pool" || kind == "service" ||
               kind == "team" || kind == "job" || kind == "maintenance") {
      if (!IsName(section.name)) {
        reader.Report("", "expected [" + kind +
                              " NAME] with a name of lower-case letters, "
                              "digits, '.', '_' and '-'");
      }
      if (kind == "region") ReadRegion(reader);
      if (kind == "pool") ReadPool(reader);
      if (kind == "service") ReadService(reader);
      if (kind == "team") ReadTeam(reader);
      if (kind == "job") ReadJobClass(reader);
      if (kind == "maintenance") ReadMaintenance(reader);
    } else {
      reader.Report("", "unknown section");
      return;
    }
    reader.ReportUnknownKeys();
  }

  void ReadFleet(SectionReader& reader) {
    has_fleet_ = true;
    FleetDeclaration& fleet = result_.fleet;
    reader.Require("name");
    StrongId<struct FleetTag> id;
    reader.ReadId("name", id);
    fleet.name = id.value();
    reader.Read("rack_size", fleet.rack_size, 1, 1'000);
    reader.Read("store_calls_per_s", fleet.store_calls_per_s, 1, 1'000);
  }

  void ReadRegion(SectionReader& reader) {
    const RegionId id(reader.section().name);
    std::vector<ZoneId> zones;
    reader.Require("zones");
    reader.ReadIds("zones", zones);
    if (reader.has("zones") && zones.empty())
      reader.Report("zones", "must list at least one zone");
    for (const ZoneId& zone : zones) {
      const auto [first, added] = zone_regions_.emplace(zone, id);
      if (!added && first->second != id) {
        reader.Report("zones", "zone \"" + zone.value() +
                                   "\" is already in region \"" +
                                   first->second.value() + '"');
      }
    }
    if (result_.fleet.zones.emplace(id, std::move(zones)).second)
      result_.fleet.regions.push_back(id);
  }

  void ReadPool(SectionReader& reader) {
    PoolDeclaration pool;
    pool.id = PoolId(reader.section().name);
    reader.Require("region");
    reader.ReadId("region", pool.region);
    reader.Require("size");
    reader.Read("size", pool.size, 1, kMaxVmsPerPool);
    pool.min_size = std::min(1U, pool.size);
    reader.Read("min_size", pool.min_size, 0, kMaxVmsPerPool);
    if (pool.size != 0 && pool.min_size > pool.size)
      reader.Report("min_size", "must not exceed size");
    reader.Read("slots", pool.slots, 1, kMaxSlots);
    reader.Read("connections", pool.connections, 1, 65'535);
    if (pool.connections < pool.slots)
      reader.Report("connections", "must not be less than slots");
    reader.Read("cold_start", pool.cold_start, milliseconds(1), hours(24));
    reader.Read("spare", pool.is_spare);
    reader.ReadIds("vms", pool.vms);
    for (const VmId& vm : pool.vms) {
      const auto [first, added] = vm_pools_.emplace(vm, pool.id);
      if (!added && first->second != pool.id) {
        reader.Report("vms", "VM \"" + vm.value() + "\" is already in pool \"" +
                                 first->second.value() + '"');
      }
    }
    CheckLater(reader, "region", pool.region, result_.fleet.zones, "region");
    result_.pools.emplace(pool.id, pool);
    checks_.emplace_back(
        [this, &reader, id = pool.id] { CheckLoad(reader, id); });
  }

  void ReadService(SectionReader& reader) {
    ServiceDeclaration service;
    service.id = ServiceId(reader.section().name);
    reader.Require("pool");
    reader.ReadId("pool", service.pool);
    reader.ReadTitle("title", service.title);
    CheckLater(reader, "pool", service.pool, result_.pools, "pool");
    result_.services.emplace(service.id, service);
  }

  void ReadQueue(SectionReader& reader) {
    const std::string& name = reader.section().name;
    const std::size_t slash = name.find('/');
    QueueDeclaration queue;
    queue.id = QueueId(name);
    queue.service = ServiceId(name.substr(0, slash));
    if (slash == std::string::npos || !IsName(name.substr(0, slash)) ||
        !IsName(name.substr(slash + 1))) {
      reader.Report("",
                    "expected [queue SERVICE/NAME] with names of lower-case "
                    "letters, digits, '.', '_' and '-'");
    } else {
      CheckLater(reader, "", queue.service, result_.services, "service");
    }
    reader.ReadChoice("urgency", queue.urgency, UrgencyChoices());
    reader.Read("deadline", queue.deadline, milliseconds(1), hours(24));
    reader.ReadBetween("availability", queue.availability, 0, 1);
    reader.Read("window", queue.window, seconds(1), hours(24 * 90));
    reader.Read("repeatable", queue.is_repeatable);
    reader.Read("mean_rate", queue.mean_rate, 0, kMaxRate);
    reader.Read("service_time", queue.service_time, milliseconds(1), hours(24));
    reader.Read("max_waiting", queue.max_waiting, 1, 1'000'000);
    if (queue.deadline < queue.service_time) {
      reader.Report("deadline", "the deadline of " +
                                    DurationText(queue.deadline) +
                                    " is shorter than the service time of " +
                                    DurationText(queue.service_time));
    }
    if (queue.window < queue.deadline)
      reader.Report("window", "must not be shorter than the deadline");
    result_.queues.emplace(queue.id, queue);
  }

  void ReadTeam(SectionReader& reader) {
    TeamDeclaration team;
    team.id = TeamId(reader.section().name);
    reader.ReadBetween("weight", team.weight, 0, 1e6);
    reader.Read("max_rate", team.max_rate, 0, kMaxRate);
    reader.Read("quota_cores", team.quota_cores, 0, 1'000'000);
    result_.teams.emplace(team.id, team);
  }

  void ReadJobClass(SectionReader& reader) {
    JobClassDeclaration job;
    job.id = reader.section().name;
    reader.Require("team");
    reader.ReadId("team", job.team);
    reader.Read("urgent", job.is_urgent);
    reader.Read("cores", job.cores, 1, 4'096);
    reader.Read("memory_mb", job.memory_mb, 1, 16'777'216);
    reader.Read("accelerators", job.accelerators, 0, 64);
    reader.Read("run_time", job.run_time, milliseconds(1), kMaxDuration);
    reader.Read("checkpoint", job.can_checkpoint);
    reader.Read("throttle", job.can_throttle);
    reader.Read("max_attempts", job.max_attempts, 1, 1'000);
    CheckLater(reader, "team", job.team, result_.teams, "team");
    result_.job_classes.emplace(job.id, job);
  }

  void ReadMaintenance(SectionReader& reader) {
    MaintenanceDeclaration wave;
    wave.id = WaveId(reader.section().name);
    reader.ReadIds("pools", wave.pools);
    reader.ReadChoice("action", wave.action, ActionChoices());
    reader.Read("every", wave.every, Duration(0), kMaxDuration);
    reader.ReadTimeOfDay("not_before", wave.not_before_minute);
    reader.ReadTimeOfDay("deadline", wave.deadline_minute);
    if (wave.deadline_minute && wave.not_before_minute == wave.deadline_minute)
      reader.Report("deadline", "must differ from not_before");
    reader.Read("max_failed_share", wave.max_failed_share, 0, 1);
    for (const PoolId& pool : wave.pools)
      CheckLater(reader, "pools", pool, result_.pools, "pool");
    result_.maintenance.emplace(wave.id, wave);
  }

  /// Checks a reference once all sections are read.
  template <typename Id, typename Map>
  void CheckLater(SectionReader& reader, std::string key, const Id& id,
                  const Map& map, std::string kind) {
    if (id.empty()) return;
    checks_.emplace_back(
        [&reader, &map, id, key = std::move(key), kind = std::move(kind)] {
          if (!map.contains(id))
            reader.Report(key,
                          "no " + kind + " \"" + id.value() + "\" is declared");
        });
  }

  /// No schedule meets the budgets of a pool whose mean load exceeds its slots.
  void CheckLoad(SectionReader& reader, const PoolId& id) {
    const PoolDeclaration& pool = result_.pools.at(id);
    if (pool.size == 0) return;
    double load = 0;
    for (const auto& [queue_id, queue] : result_.queues) {
      const auto service = result_.services.find(queue.service);
      if (service != result_.services.end() && service->second.pool == id)
        load += queue.mean_rate * ToSeconds(queue.service_time);
    }
    const double slots = static_cast<double>(pool.size) * pool.slots;
    if (load > slots) {
      reader.Report("size", "the mean load of its queues takes " +
                                NumberText(std::ceil(load)) +
                                " slots, the pool has " + NumberText(slots));
    }
  }

  const std::string& file_;
  std::vector<Diagnostic> errors_;
  std::vector<IniSection> sections_;
  std::vector<SectionReader> readers_;
  std::vector<std::function<void()>> checks_;
  Declarations result_;
  std::map<VmId, PoolId> vm_pools_;
  std::map<ZoneId, RegionId> zone_regions_;
  bool has_fleet_ = false;
};

}  // namespace

tl::expected<Declarations, std::vector<Diagnostic>> Parse(
    std::string_view text, const std::string& file) {
  return Parser(text, file).Run();
}

}  // namespace pomelomill
