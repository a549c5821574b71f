#pragma once

#include "membership/MemberUpdate.h"
#include "membership/RecordAnnouncement.h"
#include "membership/RecordCopy.h"
#include "mustardwinch/Result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mustardwinch {

/** Kind of a pull request; the numbers are part of the protocol. */
enum class PullKind : std::uint8_t
{
  kAll = 1,     //!< members and all records, in chunks, from `cursor` on
  kDigests = 2, //!< keys and versions in the buckets whose digest differs from `digests`
  kKeys = 3,    //!< the records listed in `keys`
};

/** Payload of a PeerMessage::kRecordsPull request. */
struct PullRequest
{
  PullKind kind = PullKind::kAll;
  RecordFamily family = RecordFamily::kConfig;
  std::uint32_t cursor = 0;
  std::vector<std::uint64_t> digests;
  std::vector<RecordAnnouncement> keys;

  std::string Encode() const;
  static Result<PullRequest> Decode(std::string_view aBytes);
};

/** Answer to a PullRequest. */
struct PullAnswer
{
  PullKind kind = PullKind::kAll;
  RecordFamily family = RecordFamily::kConfig;
  bool complete = false;        //!< the answering node has itself loaded all records
  std::uint32_t nextCursor = 0; //!< 0: this is the last chunk
  std::vector<MemberUpdate> members;
  std::vector<RecordAnnouncement> announcements;
  std::vector<RecordCopy> records;

  std::string Encode() const;
  static Result<PullAnswer> Decode(std::string_view aBytes);
};

} // namespace mustardwinch
