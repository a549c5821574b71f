#pragma once

#include <string>
#include <vector>

namespace mustardwinch {

/** What is wrong with one field of a document. */
struct FieldProblem
{
  std::string field;   //!< path from the top of the document, such as "limits.slices"
  std::string found;   //!< never the value of a field that may hold a key
  std::string allowed; //!< what would have been right

  bool operator==(const FieldProblem&) const = default;

  /** "field 'F': found X, allowed Y" */
  std::string ToString() const;
};

/** All problems in one line. */
std::string JoinProblems(const std::vector<FieldProblem>& aProblems);

} // namespace mustardwinch
