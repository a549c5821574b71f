#include "settings/SettingsProblem.h"

namespace mustardwinch {

std::string SettingsProblem::ToString() const
{
  return file + ":" + std::to_string(line) + ": " + problem.ToString();
}

} // namespace mustardwinch
