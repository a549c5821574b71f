#pragma once

#include <cstdint>
#include <string>

namespace mustardwinch {

/**
 * Sets up logging to standard output that never blocks: lines wait in a bounded buffer until
 * FlushLog() writes what the output takes; lines over the rate or the buffer are dropped and
 * counted.
 *
 * @param aProgram name that stands in every line
 * @param aLevel least level that is written: debug, info, warn or error
 * @return false if the level is none of these
 */
bool InitBoundedLogging(const std::string& aProgram,
                        const std::string& aLevel,
                        std::uint32_t aLinesPerSecond);

/** Writes buffered lines. Called several times a second from the event loop, and before exit. */
void FlushLog();

/** Lines dropped so far. */
std::uint64_t DroppedLogLines();

} // namespace mustardwinch
