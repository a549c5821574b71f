#include "config/FieldProblem.h"

namespace mustardwinch {

std::string FieldProblem::ToString() const
{
  return "field '" + field + "': found " + found + ", allowed " + allowed;
}

std::string JoinProblems(const std::vector<FieldProblem>& aProblems)
{
  std::string text;
  for (const FieldProblem& it : aProblems) {
    text += text.empty() ? "" : "; ";
    text += it.ToString();
  }
  return text;
}

} // namespace mustardwinch
