#pragma once

#include "config/FieldProblem.h"

#include <string>

namespace mustardwinch {

/** What is wrong with one field of a settings file. */
struct SettingsProblem
{
  std::string file;
  int line = 0; //!< from 1; 0 if it is about the whole file
  FieldProblem problem;

  bool operator==(const SettingsProblem&) const = default;

  /** "FILE:LINE: field 'F': found X, allowed Y" */
  std::string ToString() const;
};

} // namespace mustardwinch
