#pragma once

#include <cstdint>
#include <string>
#include <string_view>

struct mg_connection;

namespace mustardwinch::standin {

constexpr std::int64_t kChunkedLength = -1;

/** Sends status and headers of an answer, with the id of its request. @param aLength bytes of the
 * body, or kChunkedLength */
void SendHead(mg_connection* aConnection, int aStatus, std::int64_t aLength, bool aShed = false);

/** Sends a whole answer with a JSON body. */
bool SendJson(mg_connection* aConnection, int aStatus, const std::string& aBody);

/** Sends bytes of a body; false if the client has gone. */
bool SendBytes(mg_connection* aConnection, std::string_view aBytes);

/** Sends one chunk of a chunked body, the last one if empty; false if the client has gone. */
bool SendChunk(mg_connection* aConnection, std::string_view aBytes);

/** A number in the query of the request's path; aElse if it is not there. */
std::uint64_t QueryNumber(const mg_connection* aConnection, const char* aName, std::uint64_t aElse);

} // namespace mustardwinch::standin
