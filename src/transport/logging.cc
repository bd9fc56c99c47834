#include "transport/logging.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "hawthornbank/error.h"
#include "protocol/near_match.h"

namespace hawthornbank::transport {
namespace {

constexpr std::array<const char*, kLayerCount> kLayerNames = {
    "transport", "protocol", "coordination", "state"};
constexpr std::array<const char*, 5> kLevelNames = {"trace", "debug", "info",
                                                    "warn", "error"};
constexpr std::array<log4cplus::LogLevel, 5> kLibraryLevels = {
    log4cplus::TRACE_LOG_LEVEL, log4cplus::DEBUG_LOG_LEVEL,
    log4cplus::INFO_LOG_LEVEL, log4cplus::WARN_LOG_LEVEL,
    log4cplus::ERROR_LOG_LEVEL};
constexpr auto kTextPattern =
    "time=%d{%Y-%m-%dT%H:%M:%S.%q}Z level=%p layer=%c %m%n";
constexpr auto kJsonPattern =
    R"({"time":"%d{%Y-%m-%dT%H:%M:%S.%q}Z","level":"%p","layer":"%c",%m}%n)";

std::atomic<bool> json_layout{false};

/// Finds the index of a name in a table.
/// @throws Error kInvalidSettings when the table doesn't contain the name.
template <std::size_t N>
auto FindNameIndex(const std::array<const char*, N>& names,
                   const std::string& name,
                   const std::string& what) -> std::size_t {
  const auto* const it = std::find(names.begin(), names.end(), name);
  if (it == names.end()) {
    const std::vector<std::string> known(names.begin(), names.end());
    throw Error(
        ErrorKind::kInvalidSettings,
        "'" + name + "' is not a log " + what + FormatSuggestion(name, known));
  }
  return static_cast<std::size_t>(it - names.begin());
}

auto GetLayerLogger(Layer layer) -> log4cplus::Logger& {
  // The library is initialised on first use, so that a call before
  // InitialiseLogging is safe.
  static log4cplus::Initializer initializer;
  static std::array<log4cplus::Logger, kLayerCount> loggers = {
      log4cplus::Logger::getInstance(kLayerNames[0]),
      log4cplus::Logger::getInstance(kLayerNames[1]),
      log4cplus::Logger::getInstance(kLayerNames[2]),
      log4cplus::Logger::getInstance(kLayerNames[3])};
  return loggers[static_cast<std::size_t>(layer)];
}

auto ValueNeedsQuotes(const std::string& value) -> bool {
  return value.empty() ||
         std::any_of(value.begin(), value.end(), [](unsigned char c) {
           return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7F;
         });
}

auto FormatJsonString(const std::string& value) -> std::string {
  using nlohmann::json;
  return json(value).dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

namespace detail {

auto FormatTextLogLine(std::string_view event,
                       const std::vector<LogField>& fields) -> std::string {
  std::string text = "event=" + std::string(event);
  for (const auto& it : fields) {
    text += " " + std::string(it.key) + "=";
    text += ValueNeedsQuotes(it.value) ? FormatJsonString(it.value) : it.value;
  }
  return text;
}

auto FormatJsonMembers(std::string_view event,
                       const std::vector<LogField>& fields) -> std::string {
  std::string text = "\"event\":" + FormatJsonString(std::string(event));
  for (const auto& it : fields) {
    text += "," + FormatJsonString(std::string(it.key)) + ":" +
            FormatJsonString(it.value);
  }
  return text;
}

}  // namespace detail

auto InitialiseLogging(const std::string& level, const std::string& layout)
    -> void {
  const auto ll = kLibraryLevels[FindNameIndex(kLevelNames, level, "level")];
  constexpr std::array<const char*, 2> kLayouts = {"text", "json"};
  const bool json = FindNameIndex(kLayouts, layout, "layout") == 1;
  constexpr bool kToStandardError = true;
  constexpr bool kFlushEachLine = true;
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(kToStandardError, kFlushEachLine));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      json ? kJsonPattern : kTextPattern));
  for (std::size_t n = 0; n < kLayerCount; ++n) {
    auto& logger = GetLayerLogger(static_cast<Layer>(n));
    logger.setAdditivity(false);
    logger.removeAllAppenders();
    logger.addAppender(appender);
    logger.setLogLevel(ll);
  }
  json_layout = json;
}

auto SetLogLevel(const std::string& layer, const std::string& level) -> void {
  const auto n = FindNameIndex(kLayerNames, layer, "layer");
  GetLayerLogger(static_cast<Layer>(n))
      .setLogLevel(kLibraryLevels[FindNameIndex(kLevelNames, level, "level")]);
}

auto IsLogLevelEnabled(Layer layer, LogLevel level) -> bool {
  return GetLayerLogger(layer).isEnabledFor(
      kLibraryLevels[static_cast<std::size_t>(level)]);
}

auto LogEvent(Layer layer,
              LogLevel level,
              std::string_view event,
              const std::vector<LogField>& fields) -> void {
  auto& logger = GetLayerLogger(layer);
  const auto ll = kLibraryLevels[static_cast<std::size_t>(level)];
  if (!logger.isEnabledFor(ll)) {
    return;
  }
  const std::string text = json_layout
                               ? detail::FormatJsonMembers(event, fields)
                               : detail::FormatTextLogLine(event, fields);
  logger.forcedLog(ll, text, nullptr, 0);
}

auto CountLineAgainstRateLimit(LogRateLimit& limit, TimePoint now)
    -> LogRateDecision {
  const std::lock_guard lock(limit.mutex);
  if (now - limit.window_start >= limit.window) {
    limit.window_start = now;
    limit.lines = 0;
  }
  if (limit.lines >= limit.lines_per_window) {
    ++limit.suppressed;
    return LogRateDecision{};
  }
  ++limit.lines;
  return LogRateDecision{.allowed = true,
                         .suppressed = std::exchange(limit.suppressed, 0)};
}

auto LogWithRateLimit(LogRateLimit& limit,
                      TimePoint now,
                      Layer layer,
                      LogLevel level,
                      std::string_view event,
                      std::vector<LogField> fields) -> void {
  if (!IsLogLevelEnabled(layer, level)) {
    return;
  }
  const LogRateDecision decision = CountLineAgainstRateLimit(limit, now);
  if (!decision.allowed) {
    return;
  }
  if (decision.suppressed > 0) {
    fields.push_back({"suppressed", std::to_string(decision.suppressed)});
  }
  LogEvent(layer, level, event, fields);
}

}  // namespace hawthornbank::transport
