// Bytes of a caller: the requests in them do not depend on the pieces in which they arrive. When a
// malformed head is noticed may depend on them, as the parser looks for its end first, and so may
// whether a head of about the limit is too large.

#include "http/HttpRequestParser.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace mustardwinch;

namespace {

constexpr HttpLimits kLimits{ 1'024, 2'048, Milliseconds(1'000), Milliseconds(1'000) };

/** Reads requests until the input ends or is malformed, as a session does. */
class Reader
{
public:
  void Put(const std::string& aBytes)
  {
    mInput += aBytes;
    while (!mInput.empty() && !mFailed) {
      const HttpRequestParser::State state = mParser->Put(mInput);
      if (state == HttpRequestParser::State::kNeedsMore) {
        return;
      }
      if (state != HttpRequestParser::State::kDone) {
        mFailed = true;
        mTooLarge = state == HttpRequestParser::State::kHeadTooLarge;
        return;
      }
      const HttpRequest request = mParser->Take();
      mRequests.push_back(request.method + " " + request.target + "\n" + request.body);
      mParser.emplace(kLimits);
    }
  }

  const std::vector<std::string>& Requests() const { return mRequests; }

  bool IsTooLarge() const { return mTooLarge; }

private:
  std::optional<HttpRequestParser> mParser{ std::in_place, kLimits };
  std::string mInput;
  std::vector<std::string> mRequests;
  bool mFailed = false;
  bool mTooLarge = false;
};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  if (aSize < 2) {
    return 0;
  }
  const std::size_t piece = 1 + aData[0] % 64;
  const std::string bytes(reinterpret_cast<const char*>(aData) + 1, aSize - 1);
  Reader whole;
  whole.Put(bytes);
  Reader pieces;
  for (std::size_t at = 0; at < bytes.size(); at += piece) {
    pieces.Put(bytes.substr(at, piece));
  }
  const bool atLimit = whole.IsTooLarge() || pieces.IsTooLarge();
  if (!atLimit && whole.Requests() != pieces.Requests()) {
    std::abort();
  }
  return 0;
}
