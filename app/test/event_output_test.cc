#include "event_output.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <sstream>

#include "pomelomill/base/virtual_timer_service.h"

namespace pomelomill {
namespace {

const Duration kFlushDelay = EventOutputOptions{}.flush_delay;

/// A pipe that is read only by calls of Read().
class Pipe {
 public:
  Pipe() {
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    reader_ = ends[0];
    writer_ = ends[1];
    fcntl(reader_, F_SETFL, O_NONBLOCK);
  }
  ~Pipe() {
    close(reader_);
    close(writer_);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  int writer() const { return writer_; }

  std::vector<nlohmann::json> Read() const {
    std::string text;
    char buf[4096];
    for (ssize_t n = read(reader_, buf, sizeof(buf)); n > 0;
         n = read(reader_, buf, sizeof(buf)))
      text.append(buf, static_cast<std::size_t>(n));
    std::vector<nlohmann::json> lines;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);)
      lines.push_back(nlohmann::json::parse(line));
    return lines;
  }

 private:
  int reader_ = -1;
  int writer_ = -1;
};

}  // namespace

TEST_CASE(
    "each event is one line of valid JSON, also with quotes and invalid "
    "UTF-8") {
  const Pipe pipe;
  VirtualTimerService timers;
  EventOutput output(timers, {.file_descriptor = pipe.writer()});
  output.Write("front", "answer", {{"job", "a\"b\n"}, {"target", "\xff"}});
  timers.Advance(kFlushDelay);
  const auto lines = pipe.Read();
  REQUIRE(lines.size() == 1);
  CHECK(lines[0]["part"] == "front");
  CHECK(lines[0]["event"] == "answer");
  CHECK(lines[0]["job"] == "a\"b\n");
  CHECK(lines[0].contains("time"));
}

TEST_CASE("lines above the rate limit are dropped and counted") {
  const Pipe pipe;
  VirtualTimerService timers;
  EventOutput output(
      timers, {.file_descriptor = pipe.writer(), .max_lines_per_second = 3});
  for (int i = 0; i < 10; ++i) output.Write("p", "e", {});
  timers.Advance(kFlushDelay);
  CHECK(pipe.Read().size() == 3);
  timers.Advance(std::chrono::seconds(2));
  output.Write("p", "e", {});
  timers.Advance(kFlushDelay);
  const auto lines = pipe.Read();
  REQUIRE(lines.size() == 1);
  CHECK(lines[0]["omitted"] == 7);
}

TEST_CASE("a pipe that nobody reads does not block the writer") {
  const Pipe pipe;
  VirtualTimerService timers;
  EventOutput output(timers, {.file_descriptor = pipe.writer(),
                              .max_lines_per_second = 1'000'000});
  // A pipe holds 64 KiB; lines beyond that are dropped while nobody reads.
  for (int i = 0; i < 5'000; ++i)
    output.Write("p", "e", {{"text", std::string(100, 'x')}});
  CHECK(output.omitted() > 0);
  CHECK_FALSE(pipe.Read().empty());
}

// Guards against a system call for each line, which took a tenth of the
// processor time of a busy owner, and against lines that stay behind.
TEST_CASE("lines are written together, at the latest after the flush delay") {
  const Pipe pipe;
  VirtualTimerService timers;
  {
    EventOutput output(timers, {.file_descriptor = pipe.writer()});
    for (int i = 0; i < 3; ++i) output.Write("p", "e", {});
    CHECK(pipe.Read().empty());
    timers.Advance(kFlushDelay);
    CHECK(pipe.Read().size() == 3);
    output.Write("p", "last", {});
  }
  CHECK(pipe.Read().size() == 1);
}

TEST_CASE("a line that no pipe takes at once is counted and not cut") {
  const Pipe pipe;
  VirtualTimerService timers;
  EventOutput output(timers, {.file_descriptor = pipe.writer()});
  output.Write("p", "e", {{"text", std::string(5'000, 'x')}});
  output.Write("p", "e", {});
  timers.Advance(kFlushDelay);
  CHECK(output.omitted() == 1);
  CHECK(pipe.Read().size() == 1);
}

}  // namespace pomelomill
