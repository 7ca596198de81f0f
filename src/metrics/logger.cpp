#include "metrics/logger.h"

#include <boost/log/attributes/constant.hpp>
#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions/message.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <chrono>
#include <cstdio>
#include <ctime>

#include "json/json.h"
#include "metrics/line_writer.h"

namespace cranemux::metrics {
namespace {

namespace logging = boost::log;

constexpr const char* kSeverity = "Severity";
constexpr const char* kFields = "Fields";
constexpr const char* kOwner = "Owner";  // the logger: Boost.Log's core offers each record to all sinks

std::string utc_now() {
  using namespace std::chrono;
  const auto now = system_clock::now();
  const auto second = system_clock::to_time_t(now);
  const auto ms = duration_cast<milliseconds>(now.time_since_epoch()).count() % 1000;
  std::tm parts{};
  ::gmtime_r(&second, &parts);
  char day[32], out[48];
  std::strftime(day, sizeof day, "%Y-%m-%dT%H:%M:%S", &parts);
  std::snprintf(out, sizeof out, "%s.%03dZ", day, static_cast<int>(ms));
  return out;
}

std::string text_line(std::string_view severity, const std::string& text, const std::vector<Field>& fields) {
  auto out = std::string(severity) + ": " + text;
  for (const auto& field : fields) out += ' ' + field.name + '=' + field.value;
  return out;
}

std::string json_line(std::string_view severity, const std::string& text, const std::vector<Field>& fields) {
  std::string out =
      "{\"time\":\"" + utc_now() + "\",\"severity\":\"" + std::string(severity) + "\",\"message\":";
  json::write_string(out, text);
  for (const auto& field : fields) {
    out += ',';
    json::write_string(out, field.name);
    out += ':';
    json::write_string(out, field.value);
  }
  return out + '}';
}

// One thread serves, so records need no lock on their way.
class Backend : public logging::sinks::basic_sink_backend<logging::sinks::concurrent_feeding> {
 public:
  Backend(const void* owner, int descriptor, LogForm form) : writer(descriptor), owner_(owner), form_(form) {}

  void consume(const logging::record_view& record) {
    const auto owner = logging::extract<const void*>(kOwner, record);
    if (!owner || *owner != owner_) return;
    const auto level = logging::extract<Level>(kSeverity, record);
    const auto fields = logging::extract<std::vector<Field>>(kFields, record);
    const auto text = logging::extract<std::string>("Message", record);
    const auto severity = kLevelNames[static_cast<std::size_t>(level ? *level : Level::info)];
    const std::vector<Field> none;
    const auto& given = fields ? *fields : none;
    writer.line(form_ == LogForm::json ? json_line(severity, *text, given)
                                       : text_line(severity, *text, given));
  }

  LineWriter writer;

 private:
  const void* owner_;
  LogForm form_;
};

}  // namespace

struct Logger::Sink {
  boost::shared_ptr<Backend> backend;
  boost::shared_ptr<logging::sinks::unlocked_sink<Backend>> frontend;
};

Logger::Logger(int descriptor, Level least, LogForm form) : sink_(std::make_unique<Sink>()), least_(least) {
  sink_->backend = boost::make_shared<Backend>(this, descriptor, form);
  sink_->frontend = boost::make_shared<logging::sinks::unlocked_sink<Backend>>(sink_->backend);
  logging::core::get()->add_sink(sink_->frontend);
}

Logger::~Logger() {
  logging::core::get()->remove_sink(sink_->frontend);
  flush();
}

void Logger::write(Level level, const std::string& text, const std::vector<Field>& fields) {
  logging::attribute_set attributes;
  attributes.insert(kOwner, logging::attributes::constant<const void*>(this));
  attributes.insert(kSeverity, logging::attributes::constant<Level>(level));
  attributes.insert(kFields, logging::attributes::constant<std::vector<Field>>(fields));
  auto record = logging::core::get()->open_record(attributes);
  if (!record) return;
  logging::record_ostream out(record);
  out << text;
  out.flush();
  logging::core::get()->push_record(std::move(record));
}

void Logger::flush() { sink_->backend->writer.flush(); }

std::uint64_t Logger::dropped() const { return sink_->backend->writer.dropped(); }

}  // namespace cranemux::metrics
