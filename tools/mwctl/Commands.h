#pragma once

#include "mwctl/ExitCode.h"
#include "platform/PlatformApi.h"

#include <string>
#include <vector>

namespace mustardwinch {

/** What every sub-command gets. */
struct CommandContext
{
  PlatformApi& platform;
  std::string writer; //!< unique for each process
  bool json = false;  //!< print JSON in place of tables and lines
  std::string file;   //!< --file; "-" is standard input
  double watchSeconds = 0;
};

/** A sub-command, its arguments for the reader, and how many it takes. */
struct Command
{
  std::string name;
  std::string usage;
  std::size_t arguments = 0;
  ExitCode (*run)(const CommandContext&, const std::vector<std::string>&);
};

/** All sub-commands in the order of the help text. */
const std::vector<Command>& Commands();

} // namespace mustardwinch
