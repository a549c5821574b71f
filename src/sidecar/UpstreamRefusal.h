#pragma once

#include "http/HttpAnswer.h"
#include "sidecar/HttpNames.h"

#include <cstdint>
#include <string>

namespace mustardwinch {

/** True for the statuses by which callers are told that a request has not run and never will. */
bool IsRefusalStatus(unsigned aStatus);

/** What an answer of an upstream shows of whether its request was run. */
struct RefusalSigns
{
  unsigned status = 0;
  bool saysNotRun = false;    //!< bears the field by which upstreams say so
  bool isSigned = false;      //!< bears the signature of an answer that the upstream generated
  bool hasOwnId = false;      //!< echoes the id of the request
  bool newConnection = false; //!< the connection carried no request before
  bool namesAnother = false;  //!< names an instance other than the one that was expected
  bool namesExpected = false; //!< names the instance that was expected

  bool operator==(const RefusalSigns&) const = default;

  /** The answer has a refusal's status or says that its request was not run. */
  bool LooksLikeRefusal() const { return saysNotRun || IsRefusalStatus(status); }
};

/** What to make of an answer. */
enum class RefusalVerdict : std::uint8_t
{
  kNoRefusal,     //!< it tells how the request ended
  kNotRun,        //!< the upstream did not run the request and never will
  kWrongInstance, //!< another instance has the address; it did not run the request either
  kMayHaveRun,    //!< it looks like a refusal, but nothing shows that the request was not run
};

/** @param aInstance the instance that the request expected */
RefusalSigns ReadRefusalSigns(const HttpAnswer& aAnswer,
                              const HttpNames& aNames,
                              const std::string& aRequestId,
                              const std::string& aInstance,
                              bool aNewConnection);

/**
 * Decides whether an answer shows that its request was not run. A status alone shows nothing: an
 * upstream may choose any for a request that it ran.
 */
RefusalVerdict JudgeRefusal(const RefusalSigns& aSigns);

} // namespace mustardwinch
