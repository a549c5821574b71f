#include "link/LinkCodec.h"

#include "link/UnpackBytes.h"

#include <msgpack.hpp>

namespace mustardwinch {
namespace {

constexpr std::uint32_t kFrameFields = 4;

/** Lets a packer write to the end of a string. */
struct StringSink
{
  std::string& out;

  // The packer calls the sink's write by this name.
  void write(const char* aData, std::size_t aSize) { out.append(aData, aSize); } // NOLINT
};

bool IsFrameKind(std::uint64_t aNumber)
{
  return aNumber <= static_cast<std::uint64_t>(FrameKind::kReset);
}

bool HasFrameShape(const msgpack::object& aObject)
{
  using msgpack::type::object_type;
  if (aObject.type != object_type::ARRAY || aObject.via.array.size != kFrameFields) {
    return false;
  }
  const msgpack::object* fields = aObject.via.array.ptr;
  return fields[0].type == object_type::POSITIVE_INTEGER &&
         fields[1].type == object_type::POSITIVE_INTEGER &&
         fields[2].type == object_type::POSITIVE_INTEGER && fields[3].type == object_type::BIN &&
         IsFrameKind(fields[0].via.u64) && fields[2].via.u64 <= UINT32_MAX;
}

} // namespace

void AppendFrame(const LinkFrame& aFrame, std::string& aOut)
{
  const std::size_t start = aOut.size();
  aOut.append(kFrameLengthBytes, '\0');
  StringSink sink{ aOut };
  msgpack::packer<StringSink> packer(sink);
  packer.pack_array(kFrameFields);
  packer.pack_uint8(static_cast<std::uint8_t>(aFrame.kind));
  packer.pack_uint64(aFrame.id);
  packer.pack_uint32(aFrame.number);
  packer.pack_bin(static_cast<std::uint32_t>(aFrame.payload.size()));
  packer.pack_bin_body(aFrame.payload.data(), static_cast<std::uint32_t>(aFrame.payload.size()));

  const std::size_t n = aOut.size() - start - kFrameLengthBytes;
  for (std::size_t i = 0; i < kFrameLengthBytes; ++i) {
    const std::size_t shift = 8 * (kFrameLengthBytes - 1 - i);
    aOut[start + i] = static_cast<char>((n >> shift) & 0xFF);
  }
}

std::optional<LinkFrame> ParseFrame(std::string_view aBytes)
{
  const std::optional<msgpack::object_handle> handle = UnpackBytes(aBytes);
  if (!handle || !HasFrameShape(handle->get())) {
    return std::nullopt;
  }
  const msgpack::object* fields = handle->get().via.array.ptr;
  LinkFrame frame;
  frame.kind = static_cast<FrameKind>(fields[0].via.u64);
  frame.id = fields[1].via.u64;
  frame.number = static_cast<std::uint32_t>(fields[2].via.u64);
  frame.payload.assign(fields[3].via.bin.ptr, fields[3].via.bin.size);
  return frame;
}

std::optional<std::size_t> ParseFrameLength(const unsigned char* aBytes)
{
  std::size_t n = 0;
  for (std::size_t i = 0; i < kFrameLengthBytes; ++i) {
    n = (n << 8) | aBytes[i];
  }
  if (n == 0 || n > kMaxFrameBytes) {
    return std::nullopt;
  }
  return n;
}

} // namespace mustardwinch
