#pragma once

#include <string>

namespace mustardwinch {

/** Empties a text and gives its memory back. Assigning an empty text would keep the buffer. */
inline void ReleaseText(std::string& aText)
{
  std::string().swap(aText);
}

} // namespace mustardwinch
