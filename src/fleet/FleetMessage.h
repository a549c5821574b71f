#pragma once

#include "gate/HttpHeader.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace mustardwinch {

/** First byte of each frame between nodes: which message follows. */
enum class FleetMessage : std::uint8_t
{
  kHello = 1,
  kHeartbeat,
  kGateStatus,
  kCall,
  kCallResult,
  kCancel,
  kRateAsk,
  kRateVerdict,
  kStatePull,
  kStatePush,
  kProbe,      //!< a heartbeat of a node whose state has not changed; no body
  kAlive,      //!< answer to a probe or heartbeat if the gate's state has not changed
  kBodyWanted, //!< the gate has a place for a call whose body has not been sent
  kCallBody,
  kCurrencyAsk,
  kCurrencyReply,
  kRolloutStep,   //!< see RolloutMessage.h
  kRolloutReport, //!< see RolloutMessage.h
  kCallBodyPart,
};

/** Kinds of state that nodes hand each other. */
enum class SharedState : std::uint8_t
{
  kConfig,
  kEvacuations,
  kMembers,
  kRollouts,
};

/** First message of the node that dialled. */
struct HelloMessage
{
  std::string vm;
  std::string address; //!< where the node accepts links
  std::string failureDomain;
  std::string service;      //!< of the upstream beside the node
  std::string seenInstance; //!< the upstream beside the receiver that was last known to leave
  MSGPACK_DEFINE(vm, address, failureDomain, service, seenInstance)
};

/** Sent by the node that dialled; answered with a GateStatusMessage. */
struct HeartbeatMessage
{
  std::uint64_t configVersion = 0;
  std::uint64_t evacuationsRevision = 0;
  std::vector<std::uint32_t> unheard; //!< VmTag() of those that the sender knows and does not hear
  std::uint64_t evacuationsEpoch = 0; //!< of the store's history, for evacuationsRevision
  std::uint64_t storeEpoch = 0;       //!< newest history of the store that the sender knows of
  std::uint64_t rolloutsRevision = 0;
  std::uint64_t rolloutsEpoch = 0; //!< of the store's history, for rolloutsRevision
  MSGPACK_DEFINE(configVersion,
                 evacuationsRevision,
                 unheard,
                 evacuationsEpoch,
                 storeEpoch,
                 rolloutsRevision,
                 rolloutsEpoch)
};

/** State of a gate and the upstream beside it. */
struct GateStatusMessage
{
  bool available = false; //!< the upstream takes new requests
  std::uint8_t trust = 0; //!< UpstreamTrust
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint32_t slots = 0;
  std::uint32_t latencyPercent = 0; //!< latency ratio times 100
  std::uint32_t grayPercent = 0;    //!< probability that the upstream fails gray
  std::uint64_t configVersion = 0;
  std::uint64_t evacuationsRevision = 0;
  std::string leaving;     //!< the upstream's instance, if it has said that it leaves
  std::string vm;          //!< of the node that answers; its address may have been another's before
  std::string service;     //!< of the upstream; empty if the gate does not know it yet
  std::uint32_t ageMs = 0; //!< since the node's process started
  bool reachesStore = true;
  std::uint64_t evacuationsEpoch = 0; //!< of the store's history, for evacuationsRevision
  std::uint64_t storeEpoch = 0;       //!< newest history of the store that the node knows of
  std::string version;                //!< of the upstream's software
  std::uint64_t rolloutsRevision = 0;
  std::uint64_t rolloutsEpoch = 0; //!< of the store's history, for rolloutsRevision
  MSGPACK_DEFINE(available,
                 trust,
                 running,
                 queued,
                 slots,
                 latencyPercent,
                 grayPercent,
                 configVersion,
                 evacuationsRevision,
                 leaving,
                 vm,
                 service,
                 ageMs,
                 reachesStore,
                 evacuationsEpoch,
                 storeEpoch,
                 version,
                 rolloutsRevision,
                 rolloutsEpoch)
};

/** Load of a gate whose state has not changed. Sent with each heartbeat, so it holds no text. */
struct AliveMessage
{
  std::uint32_t running = 0;
  std::uint32_t grayPercent = 0;
  std::uint32_t queued = 0;
  std::uint32_t latencyPercent = 0; //!< latency ratio times 100
  MSGPACK_DEFINE(running, grayPercent, queued, latencyPercent)
};

/** A header as it travels between nodes. */
struct HeaderMessage
{
  std::string name;
  std::string value;
  MSGPACK_DEFINE(name, value)
};

/** An ingress hands a request to a gate. */
struct CallMessage
{
  std::uint64_t call = 0; //!< unique on the link
  std::string requestId;
  std::string service;
  std::string method;
  std::string target;
  std::vector<HeaderMessage> headers;
  std::string body;
  bool bodyFollows = false; //!< the body is sent once the gate has a place for the call
  std::uint32_t remainingMs = 0;
  std::uint32_t latencyTargetMs = 0;
  std::int32_t priority = 0;
  std::string organisation;
  bool idempotent = false;
  bool mayWait = false;        //!< may be queued; otherwise it starts at once or is refused
  bool lastResort = false;     //!< run even if the upstream is doubtful
  bool repeat = false;         //!< it was sent to an upstream before
  std::string route;           //!< name, for what is counted by route
  std::string version;         //!< version of the upstream that the ingress has chosen; empty: any
  std::uint64_t bodyBytes = 0; //!< length of a body that follows
  MSGPACK_DEFINE(call,
                 requestId,
                 service,
                 method,
                 target,
                 headers,
                 body,
                 bodyFollows,
                 remainingMs,
                 latencyTargetMs,
                 priority,
                 organisation,
                 idempotent,
                 mayWait,
                 lastResort,
                 repeat,
                 route,
                 version,
                 bodyBytes)
};

/** The gate's final word on a call. */
struct CallResultMessage
{
  std::uint64_t call = 0;
  std::uint8_t outcome = 0; //!< CallOutcome
  std::uint32_t reason = 0; //!< number of a ResultCode, 0 if an answer came
  std::uint32_t waitMs = 0; //!< with a refusal for want of a slot: time until one is expected
  std::uint32_t status = 0;
  std::vector<HeaderMessage> headers;
  std::string body;
  std::uint32_t running = 0; //!< load of the gate after the call
  std::uint32_t queued = 0;
  bool reached = false; //!< the upstream received the request
  MSGPACK_DEFINE(call, outcome, reason, waitMs, status, headers, body, running, queued, reached)
};

/** The gate keeps a place for a call and waits for its body. */
struct BodyWantedMessage
{
  std::uint64_t call = 0;
  bool inParts = false; //!< the gate takes the body in CallBodyPartMessages
  MSGPACK_DEFINE(call, inParts)
};

/** A piece of a body; the next one is sent when this one is on its way. */
struct CallBodyPartMessage
{
  std::uint64_t call = 0;
  std::string body;
  bool last = false;
  MSGPACK_DEFINE(call, body, last)
};

struct CallBodyMessage
{
  std::uint64_t call = 0;
  std::string body;
  MSGPACK_DEFINE(call, body)
};

/** The ingress no longer wants the result of a call. */
struct CancelMessage
{
  std::uint64_t call = 0;
  MSGPACK_DEFINE(call)
};

/** What a token of a rate is for. */
enum class RateKind : std::uint8_t
{
  kOrganisation, //!< a request of an organisation
  kRetries,      //!< a repeat of a request to a service
};

/** Asks the owner of a rate for a token. */
struct RateAskMessage
{
  std::uint64_t ask = 0;
  std::string name;          //!< of the organisation or service
  std::uint32_t repeats = 0; //!< repeated requests since the last ask; charged as well
  bool relayed = false;      //!< a node that was not the owner passed it on
  std::uint8_t kind = 0;     //!< RateKind
  MSGPACK_DEFINE(ask, name, repeats, relayed, kind)
};

struct RateVerdictMessage
{
  std::uint64_t ask = 0;
  std::uint8_t kind = 0; //!< RateVerdict::Kind
  std::uint32_t waitMs = 0;
  MSGPACK_DEFINE(ask, kind, waitMs)
};

/** Asks a peer when its configuration was last known to be the newest. */
struct CurrencyAskMessage
{
  std::uint64_t ask = 0;
  MSGPACK_DEFINE(ask)
};

struct CurrencyReplyMessage
{
  std::uint64_t ask = 0;
  std::uint64_t configVersion = 0;
  bool confirmed = false;
  std::uint32_t ageMs = 0; //!< since the version was known to be the newest
  MSGPACK_DEFINE(ask, configVersion, confirmed, ageMs)
};

struct StatePullMessage
{
  std::uint8_t state = 0; //!< SharedState
  MSGPACK_DEFINE(state)
};

struct StatePushMessage
{
  std::uint8_t state = 0; //!< SharedState
  std::uint64_t version = 0;
  std::string document;
  std::uint64_t epoch = 0; //!< of the store's history, if it numbers the version
  MSGPACK_DEFINE(state, version, document, epoch)
};

} // namespace mustardwinch
