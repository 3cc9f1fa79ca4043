#include "pomelomill/config/job_service_settings.h"

#include <algorithm>
#include <set>
#include <utility>

#include "ini_document.h"
#include "section_reader.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Below this, a few bodies at the limit would fill the budget.
constexpr std::uint32_t kMinRequestMemoryMb = 8;
/// The rest is for jobs, the view of the store and the program itself.
constexpr double kRequestMemoryShare = 0.25;

void ReadLease(SectionReader& reader, JobServiceSettings& settings) {
  reader.Read("entry", settings.entry_lease, seconds(1), minutes(10));
  reader.Read("margin", settings.lease_margin, milliseconds(1), minutes(1));
  reader.Read("order_grace", settings.order_grace, milliseconds(0),
              minutes(10));
  reader.Read("task", settings.task_lease, seconds(1), minutes(10));
  if (settings.lease_margin * 3 > settings.entry_lease)
    reader.Report("margin", "must be at most a third of the entry's lease");
}

void ReadResources(SectionReader& reader, EntryCapacity& capacity) {
  double share = 1;
  double cores = 1;
  reader.Read("cpu_share", share, 0.001, 1);
  reader.Read("cores", cores, 1, 1024);
  reader.Read("memory_mb", capacity.memory_mb, 16, 16'000'000);
  reader.Read("link_mbps", capacity.link_mbps, 0.1, 1'000'000);
  capacity.cpu_cores = share * cores;
}

void ReadRequests(SectionReader& reader, RequestSettings& requests) {
  reader.Read("memory_mb", requests.memory_mb, kMinRequestMemoryMb, 1'000'000);
  reader.Read("connections", requests.connections, 16, 100'000);
}

void ReadSection(SectionReader& reader, JobServiceSettings& settings) {
  const std::string& kind = reader.section().kind;
  if (!reader.section().name.empty()) reader.Report("", "takes no name");
  if (kind == "entry") {
    reader.Require("id");
    reader.ReadId("id", settings.entry);
    reader.Require("zone");
    reader.ReadId("zone", settings.zone);
    reader.Read("stop_grace", settings.stop_grace, seconds(1), minutes(10));
  } else if (kind == "listen") {
    reader.Require("callers");
    reader.ReadAddress("callers", settings.caller_address);
    reader.Require("ready");
    reader.ReadAddress("ready", settings.ready_address);
    reader.Require("peers");
    reader.ReadAddress("peers", settings.peer_address);
    reader.ReadAddress("metrics", settings.metrics_address);
  } else if (kind == "store") {
    reader.Require("address");
    reader.ReadAddress("address", settings.store_address);
  } else if (kind == "fleet") {
    reader.ReadAddress("address", settings.fleet_address);
  } else if (kind == "placement") {
    reader.ReadAddress("address", settings.placement_address);
  } else if (kind == "log") {
    reader.ReadLogLevel("level", settings.log_level);
  } else if (kind == "resources") {
    ReadResources(reader, settings.capacity);
  } else if (kind == "requests") {
    ReadRequests(reader, settings.requests);
  } else if (kind == "lease") {
    ReadLease(reader, settings);
  } else {
    reader.Report("", "unknown section");
    return;
  }
  reader.ReportUnknownKeys();
}

}  // namespace

std::uint32_t JobServiceSettings::request_memory_mb() const {
  if (requests.memory_mb != 0) return requests.memory_mb;
  return std::max(
      kMinRequestMemoryMb,
      static_cast<std::uint32_t>(capacity.memory_mb * kRequestMemoryShare));
}

tl::expected<JobServiceSettings, std::vector<Diagnostic>>
ParseJobServiceSettings(std::string_view text, const std::string& file) {
  std::vector<Diagnostic> errors;
  const std::vector<IniSection> sections = ReadIni(text, file, errors);
  JobServiceSettings settings;
  std::set<std::string> kinds;
  for (const IniSection& section : sections) {
    // A duplicate section is an error already; its values must not hide those
    // of the first.
    JobServiceSettings duplicate;
    const bool is_first = kinds.insert(section.kind).second;
    SectionReader reader(section, file, errors);
    ReadSection(reader, is_first ? settings : duplicate);
  }
  for (const char* kind : {"entry", "listen", "store"}) {
    if (!kinds.contains(kind)) {
      errors.push_back(
          {file, 0, '[' + std::string(kind) + ']', "the section is required"});
    }
  }
  for (const IniSection& it : sections) {
    if (it.kind == "requests" &&
        settings.requests.memory_mb > settings.capacity.memory_mb / 2) {
      errors.push_back({file, it.line, it.title(),
                        "memory_mb must be at most half of the memory_mb of "
                        "[resources]"});
    }
  }
  if (errors.empty()) return settings;
  std::stable_sort(
      errors.begin(), errors.end(),
      [](const Diagnostic& a, const Diagnostic& b) { return a.line < b.line; });
  return tl::unexpected(std::move(errors));
}

}  // namespace pomelomill
