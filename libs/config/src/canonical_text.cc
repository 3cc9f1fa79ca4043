#include "pomelomill/config/canonical_text.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "choices.h"
#include "values.h"

namespace pomelomill {
namespace {

struct Section {
  std::string title;
  std::string body;
};

class Writer {
 public:
  void Open(std::string title) { sections_.push_back({std::move(title), ""}); }

  void Text(std::string_view key, std::string_view value) {
    std::string& body = sections_.back().body;
    body.append(key).append(" = ").append(value) += '\n';
  }
  void Key(std::string_view key, std::uint32_t value) {
    Text(key, std::to_string(value));
  }
  void Key(std::string_view key, double value) { Text(key, NumberText(value)); }
  void Key(std::string_view key, Duration value) {
    Text(key, DurationText(value));
  }
  void Key(std::string_view key, bool value) {
    Text(key, value ? "yes" : "no");
  }

  /// One item a line, which keeps lines within the limit of the parser and
  /// differences small.
  template <typename Id>
  void List(std::string_view key, const std::vector<Id>& ids) {
    if (ids.empty()) return;
    Text(key, ids.front().value());
    for (auto it = ids.begin() + 1; it != ids.end(); ++it)
      sections_.back().body += "  " + it->value() + '\n';
  }

  std::vector<Section> Finish() { return std::move(sections_); }

 private:
  std::vector<Section> sections_;
};

void Write(Writer& writer, const PoolDeclaration& pool) {
  writer.Open("[pool " + pool.id.value() + ']');
  writer.Text("region", pool.region.value());
  writer.Key("size", pool.size);
  writer.Key("min_size", pool.min_size);
  writer.Key("slots", pool.slots);
  writer.Key("connections", pool.connections);
  writer.Key("cold_start", pool.cold_start);
  writer.Key("spare", pool.is_spare);
  writer.List("vms", pool.vms);
}

void Write(Writer& writer, const ServiceDeclaration& service) {
  writer.Open("[service " + service.id.value() + ']');
  writer.Text("pool", service.pool.value());
  if (!service.title.empty()) writer.Text("title", service.title);
}

void Write(Writer& writer, const QueueDeclaration& queue) {
  writer.Open("[queue " + queue.id.value() + ']');
  writer.Text("urgency", ChoiceName(UrgencyChoices(), queue.urgency));
  writer.Key("deadline", queue.deadline);
  writer.Key("availability", queue.availability);
  writer.Key("window", queue.window);
  writer.Key("repeatable", queue.is_repeatable);
  writer.Key("mean_rate", queue.mean_rate);
  writer.Key("service_time", queue.service_time);
  writer.Key("max_waiting", queue.max_waiting);
}

void Write(Writer& writer, const TeamDeclaration& team) {
  writer.Open("[team " + team.id.value() + ']');
  writer.Key("weight", team.weight);
  writer.Key("max_rate", team.max_rate);
  writer.Key("quota_cores", team.quota_cores);
}

void Write(Writer& writer, const JobClassDeclaration& job) {
  writer.Open("[job " + job.id + ']');
  writer.Text("team", job.team.value());
  writer.Key("urgent", job.is_urgent);
  writer.Key("cores", job.cores);
  writer.Key("memory_mb", job.memory_mb);
  writer.Key("accelerators", job.accelerators);
  writer.Key("run_time", job.run_time);
  writer.Key("checkpoint", job.can_checkpoint);
  writer.Key("throttle", job.can_throttle);
  writer.Key("max_attempts", job.max_attempts);
}

void Write(Writer& writer, const MaintenanceDeclaration& wave) {
  writer.Open("[maintenance " + wave.id.value() + ']');
  writer.List("pools", wave.pools);
  writer.Text("action", ChoiceName(ActionChoices(), wave.action));
  writer.Key("every", wave.every);
  if (wave.not_before_minute)
    writer.Text("not_before", TimeOfDayText(*wave.not_before_minute));
  if (wave.deadline_minute)
    writer.Text("deadline", TimeOfDayText(*wave.deadline_minute));
  writer.Key("max_failed_share", wave.max_failed_share);
}

std::vector<Section> Sections(const Declarations& declarations) {
  Writer writer;
  const FleetDeclaration& fleet = declarations.fleet;
  writer.Open("[fleet]");
  writer.Text("name", fleet.name);
  writer.Key("rack_size", fleet.rack_size);
  writer.Key("store_calls_per_s", fleet.store_calls_per_s);
  for (const RegionId& region : fleet.regions) {
    writer.Open("[region " + region.value() + ']');
    writer.List("zones", fleet.zones.at(region));
  }
  for (const auto& [id, it] : declarations.pools) Write(writer, it);
  for (const auto& [id, it] : declarations.services) Write(writer, it);
  for (const auto& [id, it] : declarations.queues) Write(writer, it);
  for (const auto& [id, it] : declarations.teams) Write(writer, it);
  for (const auto& [id, it] : declarations.job_classes) Write(writer, it);
  for (const auto& [id, it] : declarations.maintenance) Write(writer, it);
  return writer.Finish();
}

const Section* Find(const std::vector<Section>& sections,
                    const std::string& title) {
  const auto it =
      std::find_if(sections.begin(), sections.end(),
                   [&](const Section& s) { return s.title == title; });
  return it == sections.end() ? nullptr : &*it;
}

}  // namespace

std::string CanonicalText(const Declarations& declarations) {
  std::string text;
  for (const Section& it : Sections(declarations)) {
    if (!text.empty()) text += '\n';
    text += it.title + '\n' + it.body;
  }
  return text;
}

std::vector<SectionChange> Diff(const Declarations& from,
                                const Declarations& to) {
  const std::vector<Section> before = Sections(from);
  const std::vector<Section> after = Sections(to);
  std::vector<SectionChange> changes;
  for (const Section& it : before) {
    const Section* const other = Find(after, it.title);
    if (other == nullptr) {
      changes.push_back({it.title, Change::kRemoved});
    } else if (other->body != it.body) {
      changes.push_back({it.title, Change::kChanged});
    }
  }
  for (const Section& it : after) {
    if (Find(before, it.title) == nullptr)
      changes.push_back({it.title, Change::kAdded});
  }
  return changes;
}

}  // namespace pomelomill
