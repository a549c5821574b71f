#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <utility>

namespace mustardwinch {

/** Numbered log events. docs/EVENTS.md explains each and says what an operator does about it. */
enum class Event : std::uint16_t
{
#define MW_EVENT(aNumber, aName, aText) aName = (aNumber),
#include "mustardwinch/Events.def"
#undef MW_EVENT
};

/** A named value in a log line. */
struct LogField
{
  const char* name;
  std::string value;
};

enum class LogLevel : std::uint8_t
{
  kDebug,
  kInfo,
  kWarn,
  kError,
};

/**
 * Sets up logging to standard error, one line an event:
 * `<time> <level> MW<number> <name> field=value ...`.
 *
 * @param aProgram name that stands in every line
 * @param aLevel least level that is written: debug, info, warn or error
 * @return false if the level is none of these
 */
bool InitLogging(const std::string& aProgram, const std::string& aLevel);

/** Writes one event. Values must never hold a key of an organisation. */
void LogEvent(LogLevel aLevel, Event aEvent, std::initializer_list<LogField> aFields = {});

} // namespace mustardwinch
