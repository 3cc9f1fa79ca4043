#include "apply_command.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <ctime>
#include <nlohmann/json.hpp>
#include <ostream>
#include <random>
#include <thread>

#include "exit_code.h"
#include "http_call.h"
#include "pomelomill/base.h"
#include "pomelomill/config.h"
#include "pomelomill/store.h"

namespace pomelomill {
namespace {

using Json = nlohmann::json;

std::string RandomText() {
  std::random_device device;
  constexpr char kHex[] = "0123456789abcdef";
  std::string text;
  for (int i = 0; i < 16; ++i) text += kHex[device() % 16];
  return text;
}

std::string UtcNow() {
  const std::time_t now = std::time(nullptr);
  std::tm parts{};
  gmtime_r(&now, &parts);
  char buf[32];
  const std::size_t size =
      std::strftime(buf, sizeof(buf), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return {buf, size};
}

std::optional<WriteMark> ReadMark(const std::string& value) {
  const auto record = ReadConfigRecord(value);
  if (!record) return std::nullopt;
  return WriteMark{record->writer, record->sequence};
}

class Apply {
 public:
  Apply(const ApplyOptions& options, std::ostream& out, std::ostream& err)
      : options_(options),
        out_(out),
        err_(err),
        timers_(context_),
        http_(context_),
        client_(HttpStoreClient(http_, options.store_url)) {}

  int Run() {
    const auto text = ReadFile(options_.file);
    if (!text) {
      err_ << options_.file << ": " << text.error().message() << '\n';
      return kExitInvalidFile;
    }
    auto parsed = Parse(*text, options_.file);
    if (!parsed) {
      err_ << ToText(parsed.error());
      return kExitInvalidFile;
    }
    declarations_ = *std::move(parsed);
    record_.text = CanonicalText(declarations_);
    record_.apply_id =
        ApplyId(options_.apply_id.empty() ? RandomText() : options_.apply_id);
    record_.author = options_.author;
    record_.applied_at = UtcNow();
    // Another run may repeat the same apply id, so the id alone cannot mark a
    // write of this run.
    record_.writer = record_.apply_id.value() + '.' + RandomText();
    record_.sequence = 1;

    const Result<StoreItem> current = Read();
    if (!current && current.error() != StoreError::kNotFound) {
      err_ << "apply: cannot read the current configuration: "
           << current.error().message() << "; nothing was written\n";
      return kExitUnavailable;
    }
    return current ? Replace(*current) : Create();
  }

 private:
  Result<StoreItem> Read() {
    return Wait<StoreItem>([&](StoreCallback<StoreItem> done) {
      client_.get(kConfigKey, options_.timeout, std::move(done));
    });
  }

  int Create() {
    if (options_.base_revision.value_or(0) != 0) {
      err_ << "apply: the store holds no configuration, not revision "
           << *options_.base_revision << "; nothing was written\n";
      return kExitConflict;
    }
    record_.revision = Revision(1);
    return Write(Version(), std::nullopt);
  }

  int Replace(const StoreItem& item) {
    const auto current = ReadConfigRecord(item.value);
    if (!current) {
      err_ << "apply: " << current.error().message()
           << "; nothing was written\n";
      return kExitFailed;
    }
    if (current->apply_id == record_.apply_id) return Repeated(*current);
    if (options_.base_revision &&
        Revision(*options_.base_revision) != current->revision)
      return Conflict(*current, std::nullopt);
    record_.revision = current->revision.Next();
    return Write(item.version, *current);
  }

  /// The current configuration carries the apply id of this command.
  int Repeated(const ConfigRecord& current) {
    if (current.text != record_.text) {
      err_ << "apply: the apply id " << record_.apply_id
           << " belongs to another file, accepted as revision "
           << current.revision << "; nothing was written\n";
      return kExitConflict;
    }
    return Accepted(current, true);
  }

  int Write(Version expect, const std::optional<ConfigRecord>& base) {
    CasWriterOptions writer_options;
    writer_options.timeout = options_.timeout;
    CasWriter writer(client_, timers_, ReadMark, writer_options);
    const CasWrite write{kConfigKey,
                         ToJson(record_),
                         {record_.writer, record_.sequence},
                         expect,
                         LeaseId()};
    const Result<Version> result =
        Wait<Version>([&](StoreCallback<Version> done) {
          writer.Write(write, std::move(done));
        });
    if (result) return Accepted(record_, false);
    if (result.error() == StoreError::kConflict) return Lost(base);
    if (result.error() == StoreError::kOutcomeUnknown) {
      err_ << "apply: the outcome is unknown, the store did not confirm "
              "revision "
           << record_.revision << "; repeat with --apply-id "
           << record_.apply_id << '\n';
      PrintJson("unknown", record_);
      return kExitUnknown;
    }
    err_ << "apply: " << result.error().message() << "; nothing was written\n";
    return kExitUnavailable;
  }

  int Lost(const std::optional<ConfigRecord>& base) {
    const auto item = Read();
    const auto winner =
        item ? ReadConfigRecord(item->value) : Unexpected(item.error());
    if (!winner) {
      err_ << "apply: another configuration was accepted first; nothing was "
              "written\n";
      return kExitConflict;
    }
    if (winner->apply_id == record_.apply_id) return Repeated(*winner);
    return Conflict(*winner, base);
  }

  /// Reports the sections in which the accepted configuration differs from
  /// this file and, when the common base is known, from the base.
  int Conflict(const ConfigRecord& winner,
               const std::optional<ConfigRecord>& base) {
    std::vector<SectionChange> sections;
    if (const auto theirs = Parse(winner.text, kConfigKey)) {
      sections = Diff(*theirs, declarations_);
      const auto before =
          base ? Parse(base->text, kConfigKey) : Parse(winner.text, kConfigKey);
      if (base && before) KeepChangedByBoth(*before, *theirs, sections);
    }
    err_ << "apply: conflict with revision " << winner.revision << " by "
         << winner.author << " at " << winner.applied_at
         << "; nothing was written\n";
    for (const SectionChange& it : sections)
      err_ << "  " << it.section << " differs\n";
    if (options_.is_json) {
      Json names = Json::array();
      for (const SectionChange& it : sections) names.push_back(it.section);
      out_ << Json{{"outcome", "conflict"},
                   {"revision", winner.revision.value()},
                   {"author", winner.author},
                   {"sections", names}}
                  .dump()
           << '\n';
    }
    return kExitConflict;
  }

  static void KeepChangedByBoth(const Declarations& before,
                                const Declarations& theirs,
                                std::vector<SectionChange>& sections) {
    const std::vector<SectionChange> changed = Diff(before, theirs);
    std::erase_if(sections, [&](const SectionChange& it) {
      return std::none_of(changed.begin(), changed.end(),
                          [&](const SectionChange& other) {
                            return other.section == it.section;
                          });
    });
  }

  int Accepted(const ConfigRecord& record, bool is_repeat) {
    if (options_.is_json) {
      PrintJson("accepted", record);
    } else {
      out_ << (is_repeat ? "already accepted" : "accepted") << " as revision "
           << record.revision << ", apply id " << record.apply_id << '\n';
    }
    return options_.waits ? WaitInForce(record.revision) : kExitOk;
  }

  void PrintJson(const char* outcome, const ConfigRecord& record) {
    if (!options_.is_json) return;
    out_ << Json{{"outcome", outcome},
                 {"revision", record.revision.value()},
                 {"apply_id", record.apply_id.value()}}
                .dump()
         << '\n';
  }

  /// Polls the entries until each reports the revision or a higher one.
  int WaitInForce(Revision revision) {
    std::vector<std::string> left = options_.entries;
    const Instant start = timers_.Now();
    while (true) {
      std::erase_if(left, [&](const std::string& entry) {
        return RevisionOn(entry) >= revision;
      });
      const double took = ToSeconds(timers_.Now() - start);
      if (left.empty()) {
        if (!options_.is_json) {
          out_ << "in force on " << options_.entries.size() << " entries after "
               << took << " s\n";
        }
        return kExitOk;
      }
      if (timers_.Now() - start >= options_.timeout) break;
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    for (const std::string& it : left)
      err_ << "apply: revision " << revision << " is not in force on " << it
           << '\n';
    return kExitNotInForce;
  }

  static Revision RevisionOn(const std::string& entry) {
    HttpRequest request;
    request.url = AdminUrl(entry, "/-/status");
    request.timeout = std::chrono::seconds(1);
    const HttpResult result = CallAndWait(std::move(request));
    if (result.error || result.response.status != 200) return Revision();
    const Json json = Json::parse(result.response.body, nullptr, false);
    if (!json.is_object()) return Revision();
    const auto it = json.find("config_revision");
    if (it == json.end() || !it->is_number_unsigned()) return Revision();
    return Revision(it->get<std::uint64_t>());
  }

  template <typename T, typename Start>
  Result<T> Wait(const Start& start) {
    std::optional<Result<T>> result;
    start(StoreCallback<T>([&](Result<T> r) { result = std::move(r); }));
    context_.restart();
    while (!result && context_.run_one() != 0) {
    }
    return result ? *result : Unexpected(StoreError::kOutcomeUnknown);
  }

  const ApplyOptions& options_;
  std::ostream& out_;
  std::ostream& err_;
  asio::io_context context_{1};
  AsioTimerService timers_;
  HttpClient http_;
  StoreClient client_;
  Declarations declarations_;
  ConfigRecord record_;
};

}  // namespace

int RunApply(const ApplyOptions& options, std::ostream& out,
             std::ostream& err) {
  return Apply(options, out, err).Run();
}

}  // namespace pomelomill
