#include "standin_upstream/HttpReply.h"

#include <civetweb.h>

#include <array>
#include <cstdlib>
#include <cstring>

namespace mustardwinch::standin {

void SendHead(mg_connection* aConnection, int aStatus, std::int64_t aLength, bool aShed)
{
  // CivetWeb's own header functions refuse to work after a 100 Continue.
  std::string head = "HTTP/1.1 " + std::to_string(aStatus) + " ";
  head += mg_get_response_code_text(aConnection, aStatus);
  head += aLength == kChunkedLength ? "\r\nTransfer-Encoding: chunked"
                                    : "\r\nContent-Length: " + std::to_string(aLength);
  // Shows whose answer it is; CivetWeb passes on no line breaks in a field.
  if (const char* id = mg_get_header(aConnection, "X-Request-Id")) {
    head += std::string("\r\nX-Request-Id: ") + id;
  }
  if (aShed) {
    head += "\r\nX-Shed: 1";
  }
  head += "\r\n\r\n";
  SendBytes(aConnection, head);
}

bool SendJson(mg_connection* aConnection, int aStatus, const std::string& aBody)
{
  SendHead(aConnection, aStatus, static_cast<std::int64_t>(aBody.size()));
  return SendBytes(aConnection, aBody);
}

bool SendBytes(mg_connection* aConnection, std::string_view aBytes)
{
  return mg_write(aConnection, aBytes.data(), aBytes.size()) == static_cast<int>(aBytes.size());
}

bool SendChunk(mg_connection* aConnection, std::string_view aBytes)
{
  return mg_send_chunk(aConnection, aBytes.data(), static_cast<unsigned>(aBytes.size())) > 0;
}

std::uint64_t QueryNumber(const mg_connection* aConnection, const char* aName, std::uint64_t aElse)
{
  const char* query = mg_get_request_info(aConnection)->query_string;
  std::array<char, 24> value{};
  if (query == nullptr ||
      mg_get_var(query, std::strlen(query), aName, value.data(), value.size()) < 0) {
    return aElse;
  }
  return std::strtoull(value.data(), nullptr, 10);
}

} // namespace mustardwinch::standin
