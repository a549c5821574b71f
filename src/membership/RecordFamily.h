#pragma once

#include <cstddef>
#include <cstdint>

namespace mustardwinch {

/** Group of records with a store of its own; the numbers are part of the protocol. */
enum class RecordFamily : std::uint8_t
{
  kConfig = 0, //!< key "kind/name", written by the platform
  kNode = 1,   //!< key is the VM's name, written by the node itself
};

constexpr std::size_t kRecordFamilies = 2;

} // namespace mustardwinch
