#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace mustardwinch::standin {

/** How the stand-in misbehaves. Set at run time by POST /standin; absent fields stay as they are.
 */
struct Behaviour
{
  double slow = 1.0;           //!< factor on the service time
  double failShare = 0;        //!< share of requests answered 500
  double halfShare = 0;        //!< share of answers cut in the middle
  bool halfChunked = false;    //!< cut answers lack the last chunk instead of bytes
  bool healthy = true;         //!< what GET /health says, whatever requests see
  std::int64_t flapMs = 0;     //!< fails everything in every second period of this length
  std::int64_t loadLagMs = 0;  //!< age of the load that is announced
  std::string silent = "none"; //!< none, all or pooled: connections that are never answered
  double lateShare = 0;        //!< share of answers that are late
  std::int64_t lateMs = 0;     //!< how late
  bool ignoreCancel = false;   //!< runs to the end although the client has gone

  bool operator==(const Behaviour&) const = default;

  /** This behaviour changed by the fields of aJson; nothing if a field is unknown or of wrong type.
   */
  std::optional<Behaviour> With(const nlohmann::json& aJson) const;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Behaviour,
                                                slow,
                                                failShare,
                                                halfShare,
                                                halfChunked,
                                                healthy,
                                                flapMs,
                                                loadLagMs,
                                                silent,
                                                lateShare,
                                                lateMs,
                                                ignoreCancel)

} // namespace mustardwinch::standin
