#include "limits/RateAgent.h"
#include "link/PeerLinks.h"

namespace mustardwinch {

void RateAgent::Attach(PeerLinks& aLinks)
{
  const auto handler = [this](const Address& /*aFrom*/,
                              const std::string& aPayload,
                              const ReplyFn& aReply) { Handle(aPayload, aReply); };
  aLinks.OnRequest(PeerMessage::kGrantRequest, handler);
  aLinks.OnRequest(PeerMessage::kGrantReturn, handler);
}

} // namespace mustardwinch
