#pragma once

#include "history/BodyPattern.h"
#include "history/CallRecord.h"
#include "mwload/PlannedCall.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace mustardwinch::load {

/** The bodies and headers of one request and its answer while they pass. */
class Exchange
{
public:
  explicit Exchange(const PlannedCall& aCall);

  /** Writes the next bytes of the request's body; 0 at its end. */
  std::size_t Produce(char* aBuffer, std::size_t aSize);

  /** Starts the request's body anew. */
  void Rewind() { mSent = 0; }

  /** Takes the next bytes of the answer's body. */
  void Consume(std::string_view aBytes);

  /** Takes one header line of the answer. */
  void TakeHeader(std::string_view aLine);

  /** Writes what was seen into the record, of which status and whole are set. */
  void Finish(CallRecord& aRecord) const;

private:
  bool IsAnswerRight(const CallRecord& aRecord) const;
  bool IsHashAnswerRight() const;

  const PlannedCall& mCall;
  const BodyPattern mPattern;
  std::uint64_t mSent = 0;
  std::uint64_t mReceived = 0;
  bool mMatches = true;
  std::string mText; //!< head of the answer's body
  std::uint32_t mCode = 0;
  std::string mOutcome;
};

} // namespace mustardwinch::load
