#include "event_output.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
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

#include "pomelomill/base/json_text.h"

namespace pomelomill {
namespace {

namespace logging = boost::log;

/// POSIX: after poll() has reported POLLOUT, a pipe takes a write of up to
/// PIPE_BUF bytes, at least 512 and 4096 on Linux, without blocking.
constexpr std::size_t kMaxLineBytes = 4'096;

/// Collects lines and writes them together, only when the descriptor takes them
/// without blocking; counts the lines that it drops.
class FileDescriptorBackend
    : public logging::sinks::basic_formatted_sink_backend<
          char, logging::sinks::concurrent_feeding> {
 public:
  FileDescriptorBackend(int descriptor, std::uint64_t& omitted)
      : descriptor_(descriptor), omitted_(omitted) {}

  void consume(const logging::record_view&, const string_type& line) {
    if (line.size() >= kMaxLineBytes) {
      ++omitted_;
      return;
    }
    if (buffer_.size() + line.size() + 1 > kMaxLineBytes) Flush();
    buffer_ += line;
    buffer_ += '\n';
    ++buffered_lines_;
  }

  void Flush() {
    if (buffer_.empty()) return;
    pollfd target{descriptor_, POLLOUT, 0};
    const bool is_writable =
        poll(&target, 1, 0) == 1 && (target.revents & POLLOUT) != 0;
    if (!is_writable || write(descriptor_, buffer_.data(), buffer_.size()) !=
                            static_cast<ssize_t>(buffer_.size()))
      omitted_ += buffered_lines_;
    buffer_.clear();
    buffered_lines_ = 0;
  }

 private:
  const int descriptor_;
  std::uint64_t& omitted_;
  std::string buffer_;
  std::uint64_t buffered_lines_ = 0;
};

using Sink = logging::sinks::unlocked_sink<FileDescriptorBackend>;

void AppendJsonString(std::string& line, std::string_view text) {
  if (!IsPlainJsonText(text)) {
    line += nlohmann::json(text).dump(-1, ' ', false,
                                      nlohmann::json::error_handler_t::replace);
    return;
  }
  line += '"';
  line += text;
  line += '"';
}

/// Formats Unix time as UTC; the date and the time to the second are formatted
/// once for all lines of a second.
class UtcClock {
 public:
  std::string_view Text() {
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    if (now.tv_sec != second_ || size_ == 0) {
      second_ = now.tv_sec;
      std::tm utc{};
      gmtime_r(&now.tv_sec, &utc);
      size_ = strftime(text_.data(), text_.size(), "%Y-%m-%dT%H:%M:%S.", &utc);
    }
    const auto millis = static_cast<int>(now.tv_nsec / 1'000'000);
    text_[size_] = static_cast<char>('0' + millis / 100);
    text_[size_ + 1] = static_cast<char>('0' + millis / 10 % 10);
    text_[size_ + 2] = static_cast<char>('0' + millis % 10);
    text_[size_ + 3] = 'Z';
    return {text_.data(), size_ + 4};
  }

 private:
  std::time_t second_ = 0;
  std::size_t size_ = 0;
  std::array<char, 40> text_{};
};

}  // namespace

class EventOutput::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(TimerService& timers, const EventOutputOptions& options)
      : timers_(timers), options_(options) {
    backend_ = boost::make_shared<FileDescriptorBackend>(
        options.file_descriptor, omitted_);
    sink_ = boost::make_shared<Sink>(backend_);
    logging::core::get()->add_sink(sink_);
  }

  ~Impl() {
    logging::core::get()->remove_sink(sink_);
    backend_->Flush();
  }

  void Write(std::string_view part, std::string_view event,
             const std::vector<EventField>& fields) {
    const Instant now = timers_.Now();
    if (now - rate_window_start_ >= std::chrono::seconds(1)) {
      rate_window_start_ = now;
      lines_in_window_ = 0;
    }
    if (++lines_in_window_ > options_.max_lines_per_second) {
      ++omitted_;
      return;
    }
    std::string line = "{\"time\":\"";
    line += utc_clock_.Text();
    line += "\",\"part\":\"";
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
    FlushLater();
  }

  std::uint64_t omitted() const { return omitted_; }

 private:
  void FlushLater() {
    if (std::exchange(is_flush_scheduled_, true)) return;
    timers_.ScheduleAfter(options_.flush_delay, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self == nullptr) return;
      self->is_flush_scheduled_ = false;
      self->backend_->Flush();
    });
  }

  TimerService& timers_;
  const EventOutputOptions options_;
  boost::shared_ptr<FileDescriptorBackend> backend_;
  boost::shared_ptr<Sink> sink_;
  UtcClock utc_clock_;
  bool is_flush_scheduled_ = false;
  logging::sources::logger logger_;
  Instant rate_window_start_{};
  std::uint32_t lines_in_window_ = 0;
  std::uint64_t omitted_ = 0;
  std::uint64_t reported_omitted_ = 0;
};

EventOutput::EventOutput(TimerService& timers,
                         const EventOutputOptions& options)
    : impl_(std::make_shared<Impl>(timers, options)) {}
EventOutput::~EventOutput() = default;

void EventOutput::Write(std::string_view part, std::string_view event,
                        const std::vector<EventField>& fields) {
  impl_->Write(part, event, fields);
}
std::uint64_t EventOutput::omitted() const { return impl_->omitted(); }

}  // namespace pomelomill
