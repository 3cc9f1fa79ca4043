#include "event_output.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <cstddef>
#include <ctime>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace pomelomill {
namespace {

namespace logging = boost::log;

/// POSIX: after poll() has reported POLLOUT, a pipe takes a write of up to
/// PIPE_BUF bytes, at least 512 and 4096 on Linux, without blocking.
constexpr std::size_t kMaxLineBytes = 4'096;

/// Writes a line only when the descriptor takes it without blocking; counts the
/// lines that it drops.
class FileDescriptorBackend
    : public logging::sinks::basic_formatted_sink_backend<
          char, logging::sinks::concurrent_feeding> {
 public:
  FileDescriptorBackend(int descriptor, std::uint64_t& omitted)
      : descriptor_(descriptor), omitted_(omitted) {}

  void consume(const logging::record_view&, const string_type& line) {
    pollfd target{descriptor_, POLLOUT, 0};
    const bool is_writable =
        poll(&target, 1, 0) == 1 && (target.revents & POLLOUT) != 0;
    const std::string text = line + '\n';
    if (!is_writable || text.size() > kMaxLineBytes ||
        write(descriptor_, text.data(), text.size()) !=
            static_cast<ssize_t>(text.size()))
      ++omitted_;
  }

 private:
  const int descriptor_;
  std::uint64_t& omitted_;
};

using Sink = logging::sinks::unlocked_sink<FileDescriptorBackend>;

void AppendJsonString(std::string& line, std::string_view text) {
  line += nlohmann::json(text).dump(-1, ' ', false,
                                    nlohmann::json::error_handler_t::replace);
}

std::string UtcTimestamp() {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  std::tm utc{};
  gmtime_r(&now.tv_sec, &utc);
  char text[40];
  const std::size_t n = strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &utc);
  std::string millis = std::to_string(now.tv_nsec / 1'000'000);
  millis.insert(0, 3 - std::min<std::size_t>(3, millis.size()), '0');
  return std::string(text, n) + '.' + millis + 'Z';
}

}  // namespace

class EventOutput::Impl {
 public:
  Impl(Clock clock, const EventOutputOptions& options)
      : clock_(std::move(clock)), options_(options) {
    sink_ = boost::make_shared<Sink>(boost::make_shared<FileDescriptorBackend>(
        options.file_descriptor, omitted_));
    logging::core::get()->add_sink(sink_);
  }

  ~Impl() { logging::core::get()->remove_sink(sink_); }

  void Write(std::string_view part, std::string_view event,
             const std::vector<EventField>& fields) {
    const Instant now = clock_();
    if (now - rate_window_start_ >= std::chrono::seconds(1)) {
      rate_window_start_ = now;
      lines_in_window_ = 0;
    }
    if (++lines_in_window_ > options_.max_lines_per_second) {
      ++omitted_;
      return;
    }
    std::string line = "{\"time\":\"" + UtcTimestamp() + "\",\"part\":\"";
    line += part;
    line += "\",\"event\":\"";
    line += event;
    line += '"';
    if (omitted_ > reported_omitted_) {
      line += ",\"omitted\":" + std::to_string(omitted_ - reported_omitted_);
      reported_omitted_ = omitted_;
    }
    for (const EventField& it : fields) {
      line += ",\"";
      line += it.name;
      line += "\":";
      AppendJsonString(line, it.value);
    }
    line += '}';
    BOOST_LOG(logger_) << line;
  }

  std::uint64_t omitted() const { return omitted_; }

 private:
  Clock clock_;
  const EventOutputOptions options_;
  boost::shared_ptr<Sink> sink_;
  logging::sources::logger logger_;
  Instant rate_window_start_{};
  std::uint32_t lines_in_window_ = 0;
  std::uint64_t omitted_ = 0;
  std::uint64_t reported_omitted_ = 0;
};

EventOutput::EventOutput(Clock clock, const EventOutputOptions& options)
    : impl_(std::make_unique<Impl>(std::move(clock), options)) {}
EventOutput::~EventOutput() = default;

void EventOutput::Write(std::string_view part, std::string_view event,
                        const std::vector<EventField>& fields) {
  impl_->Write(part, event, fields);
}
std::uint64_t EventOutput::omitted() const { return impl_->omitted(); }

}  // namespace pomelomill
