#include "log.h"

#include <boost/core/null_deleter.hpp>
#include <boost/date_time/posix_time/posix_time_types.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/make_shared.hpp>
#include <ostream>

namespace pomelomill {
namespace {

namespace logging = boost::log;
namespace expr = boost::log::expressions;

using Backend = logging::sinks::text_ostream_backend;
using Sink = logging::sinks::synchronous_sink<Backend>;

const char* Name(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

boost::shared_ptr<Sink>& CurrentSink() {
  static boost::shared_ptr<Sink> sink;
  return sink;
}

}  // namespace

const char* LogPrefix(LogPart part) {
  switch (part) {
    case LogPart::kApp:
      return "[app]";
    case LogPart::kControl:
      return "[control]";
    case LogPart::kMembership:
      return "[membership]";
    case LogPart::kPlatform:
      return "[platform]";
    case LogPart::kRouting:
      return "[routing]";
    case LogPart::kStore:
      return "[store]";
    case LogPart::kTraffic:
      return "[traffic]";
  }
  return "[app]";
}

void StartLog(LogLevel level, std::ostream& out) {
  StopLog();
  const auto backend = boost::make_shared<Backend>();
  backend->add_stream(
      boost::shared_ptr<std::ostream>(&out, boost::null_deleter()));
  backend->auto_flush(true);
  const auto sink = boost::make_shared<Sink>(backend);
  sink->set_formatter(expr::stream
                      << expr::format_date_time<boost::posix_time::ptime>(
                             "TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ")
                      << ' ' << expr::smessage);
  sink->set_filter([level](const logging::attribute_value_set& values) {
    const auto severity = logging::extract<LogLevel>("Severity", values);
    return severity && severity.get() >= level;
  });
  const auto core = logging::core::get();
  core->add_global_attribute("TimeStamp", logging::attributes::utc_clock());
  core->add_sink(sink);
  core->set_logging_enabled(true);
  CurrentSink() = sink;
}

void StopLog() {
  // Without a sink of its own, Boost.Log writes to the standard output.
  logging::core::get()->set_logging_enabled(false);
  auto& sink = CurrentSink();
  if (!sink) return;
  logging::core::get()->remove_sink(sink);
  sink->flush();
  sink.reset();
}

void Log(LogPart part, LogLevel level, std::string_view sentence) {
  if (!CurrentSink()) return;
  logging::sources::severity_logger<LogLevel> logger;
  BOOST_LOG_SEV(logger, level)
      << Name(level) << ' ' << LogPrefix(part) << ' ' << sentence;
}

}  // namespace pomelomill
