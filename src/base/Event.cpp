#include "mustardwinch/Event.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <array>
#include <memory>

namespace mustardwinch {
namespace {

struct EventEntry
{
  Event event;
  const char* text;
};

constexpr std::array kEvents{
#define MW_EVENT(aNumber, aName, aText) EventEntry{ Event::aName, aText },
#include "mustardwinch/Events.def"
#undef MW_EVENT
};

const char* TextOfEvent(Event aEvent)
{
  for (const EventEntry& it : kEvents) {
    if (it.event == aEvent) {
      return it.text;
    }
  }
  return "event.unknown";
}

log4cplus::LogLevel LevelOf(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kWarn:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kError:
      break;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

bool NeedsQuotes(const std::string& aValue)
{
  return aValue.empty() || aValue.find_first_of(" \t\r\n\"=") != std::string::npos;
}

void AppendQuoted(std::string& aLine, const std::string& aValue)
{
  aLine += '"';
  for (char it : aValue) {
    if (it == '"' || it == '\\') {
      aLine += '\\';
    }
    const bool control = static_cast<unsigned char>(it) < 0x20;
    aLine += control ? ' ' : it;
  }
  aLine += '"';
}

} // namespace

bool InitLogging(const std::string& aProgram, const std::string& aLevel)
{
  static const log4cplus::Initializer kInitializer;
  const std::array<std::pair<const char*, log4cplus::LogLevel>, 4> levels{ {
    { "debug", log4cplus::DEBUG_LOG_LEVEL },
    { "info", log4cplus::INFO_LOG_LEVEL },
    { "warn", log4cplus::WARN_LOG_LEVEL },
    { "error", log4cplus::ERROR_LOG_LEVEL },
  } };
  for (const auto& [name, level] : levels) {
    if (aLevel == name) {
      log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
      const std::string pattern = "%D{%Y-%m-%dT%H:%M:%S.%qZ} %-5p " + aProgram + " %m%n";
      appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
      log4cplus::Logger root = log4cplus::Logger::getRoot();
      root.removeAllAppenders();
      root.addAppender(appender);
      root.setLogLevel(level);
      return true;
    }
  }
  return false;
}

void LogEvent(LogLevel aLevel, Event aEvent, std::initializer_list<LogField> aFields)
{
  static log4cplus::Logger kRoot = log4cplus::Logger::getRoot();
  const log4cplus::LogLevel level = LevelOf(aLevel);
  if (!kRoot.isEnabledFor(level)) {
    return;
  }
  std::string line = "MW" + std::to_string(static_cast<int>(aEvent)) + " " + TextOfEvent(aEvent);
  for (const LogField& it : aFields) {
    line += ' ';
    line += it.name;
    line += '=';
    if (NeedsQuotes(it.value)) {
      AppendQuoted(line, it.value);
    } else {
      line += it.value;
    }
  }
  kRoot.forcedLog(level, line);
}

} // namespace mustardwinch
