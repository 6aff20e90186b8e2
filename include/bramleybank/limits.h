// Limits of the system, with their units in the type or the name.
#ifndef BRAMLEYBANK_LIMITS_H_
#define BRAMLEYBANK_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace bramleybank {

// Input from callers.
inline constexpr size_t kMaxRequestBodyBytes = 1024 * 1024;
inline constexpr size_t kMaxUrlBytes = 2048;
inline constexpr size_t kMaxIdempotencyKeyBytes = 128;
inline constexpr size_t kMaxCustomerNameBytes = 64;
/// Memory pool of one caller connection, for headers and parts of the answer.
/// The library's default of 32 KiB is half of what an open stream may use.
inline constexpr size_t kConnectionPoolBytes = 20 * 1024;
/// Names and values of all headers of a request. Above it the daemon refuses;
/// headers that fill the pool are refused by libmicrohttpd with status 431.
inline constexpr size_t kMaxHeaderBytes = 8 * 1024;
inline constexpr unsigned kMaxCallerConnections = 8192;
/// A caller that sends nothing for this long in the middle of a request is
/// disconnected, so that slow senders cannot hold connections forever.
inline constexpr std::chrono::seconds kCallerIdleTimeout{20};
/// Interval at which connections without output are checked for a caller that
/// has closed.
inline constexpr std::chrono::milliseconds kCallerCloseCheckInterval{500};

// Streams.
/// Output buffered for one slow caller before the engine transfer is paused.
inline constexpr size_t kMaxBufferedOutputBytes = 256 * 1024;
inline constexpr int kMaxStreamAttempts = 8;
/// A stream that finds no endpoint for this long is given up.
inline constexpr std::chrono::milliseconds kMaxInterruption{3000};
/// The upper bound leaves 1.5 s of the 3 s resume target for the new attempt.
inline constexpr std::chrono::milliseconds kMinStallTimeout{250};
inline constexpr std::chrono::milliseconds kMaxStallTimeout{1500};
/// A token waits at most this long for the acknowledgement of its copy.
inline constexpr std::chrono::milliseconds kCopyAckTimeout{50};
/// A copy without news from its owner is dropped after this time.
inline constexpr std::chrono::seconds kCopyIdleLifetime{30};
/// A caller that lost its connection has this long to come back before the
/// engine's stream is cancelled.
inline constexpr std::chrono::seconds kCallerReconnectWindow{5};

/// Batches of copied tokens to one holder start at least this far apart, so
/// that the cost of a message is shared by several tokens.
inline constexpr std::chrono::milliseconds kCopyFlushInterval{2};
/// Text and framing in one batch of copied tokens.
inline constexpr size_t kMaxCopyBatchBytes = 64 * 1024;
/// All copies held for other daemons. At 160 streams a daemon and about 10 KB
/// a minute and stream this is far above the ordinary load.
inline constexpr size_t kMaxCopyStoreBytes = 32 * 1024 * 1024;
/// One copy; a claim's reply must fit into kMaxPeerBodyBytes.
inline constexpr size_t kMaxCopyBytes = 1024 * 1024;
inline constexpr size_t kMaxCopyTokens = 200'000;
/// Longest wait between two tries to find a holder for an unprotected stream.
inline constexpr std::chrono::seconds kMaxHolderRetryDelay{5};

// Links between daemons.
inline constexpr size_t kMaxPeerBodyBytes = 2 * 1024 * 1024;
/// Values in one message. The decoder uses 24 bytes for each.
inline constexpr size_t kMaxPeerMessageItems = 256 * 1024;
/// Bodies of requests to one peer that have not been sent whole.
inline constexpr size_t kMaxPeerQueuedBytes = 4 * 1024 * 1024;
inline constexpr size_t kMaxPeerOpenCalls = 16 * 1024;
/// Requests that a server has received in part, over all connections.
inline constexpr size_t kMaxPeerServerBytes = 32 * 1024 * 1024;
/// Unsent replies of one connection; further requests on it are refused.
inline constexpr size_t kMaxPeerUnsentReplyBytes = 8 * 1024 * 1024;
inline constexpr size_t kMaxPeerPathBytes = 256;
inline constexpr unsigned kMaxPeerConnections = 1024;
inline constexpr unsigned kMaxPeerStreams = 1024;
inline constexpr std::chrono::seconds kPeerIdleTimeout{60};
/// A client that has neither heard nor sent anything for this long sends a
/// PING; a server waits longer, so that usually only one side does.
inline constexpr std::chrono::milliseconds kPeerPingDelay{1000};
inline constexpr std::chrono::milliseconds kPeerServerPingDelay{1500};
/// A connection that is silent for this long is closed. With the interval of
/// the check it stays below the 3 s within which a loss must be found.
inline constexpr std::chrono::milliseconds kPeerSilenceTimeout{2500};
inline constexpr std::chrono::milliseconds kPeerCheckInterval{250};

// Non-idempotent calls.
inline constexpr size_t kMaxInlineResultBytes = 64 * 1024;
inline constexpr std::chrono::milliseconds kRecordBeforeAnswerTimeout{250};

/// A claim that is not dispatched by then is given up. It covers one claim
/// write and one read back, each of which takes at most kPlatformTimeout.
inline constexpr std::chrono::milliseconds kCallClaimTimeout{3000};
/// A caller waits at most this long for the result of another daemon's claim.
inline constexpr std::chrono::seconds kCallWaitTimeout{30};
/// Limit on one exchange with a plain service.
inline constexpr std::chrono::seconds kServiceTimeout{30};
/// Larger answers to a non-idempotent call are not kept: their outcome is
/// unknown to the caller, and the call is not run again.
inline constexpr size_t kMaxServiceAnswerBytes = 4 * 1024 * 1024;
inline constexpr std::chrono::milliseconds kMinCallBackoff{50};
inline constexpr std::chrono::milliseconds kMaxCallBackoff{1000};
/// Results and releases that the table does not take are dropped after this
/// time, so that a long outage does not fill the memory.
inline constexpr std::chrono::minutes kCallBackgroundTimeout{10};
/// Endpoints tried for one call while none has accepted a connection.
inline constexpr int kMaxCallConnects = 3;
/// Retries of an idempotent request after its first try.
inline constexpr int kMaxIdempotentRetries = 2;

// Transfers to endpoints and the platform.
inline constexpr std::chrono::milliseconds kConnectTimeout{800};
inline constexpr std::chrono::milliseconds kPlatformTimeout{1000};
/// Table writes that arrive within this time share one batch.
inline constexpr std::chrono::milliseconds kTableBatchWindow{2};
inline constexpr size_t kMaxTableBatchRows = 64;
inline constexpr size_t kMaxTableBatchBytes = 512 * 1024;

// Routing.
/// Half-life of everything that is observed on an endpoint.
inline constexpr std::chrono::seconds kObservationHalfLife{5};
/// Twelve thousand endpoints, and those that left with streams still open.
inline constexpr size_t kMaxEndpoints = 16384;
/// Endpoints of a group that one daemon polls and prefers.
inline constexpr size_t kSubsetSize = 64;
/// Part of the subset that the own failure domain may take when there are
/// others; the rest lets work move away from a busy or lost domain.
inline constexpr size_t kSubsetOwnDomainSize = 48;
/// Work leaves its failure domain only when that saves more than this.
inline constexpr std::chrono::milliseconds kRegionThreshold{80};
/// Work leaves its region only when that saves more than this.
inline constexpr std::chrono::milliseconds kCrossRegionThreshold{400};
/// Share of the slots that long generations may hold.
inline constexpr double kLongSlotShare = 0.8;
/// Prompt tokens that one prefix hash covers.
inline constexpr uint32_t kPrefixBlockTokens = 64;
/// Endpoints with an estimate of their prefix cache; 8 groups of 64 and some.
inline constexpr size_t kMaxPrefixCaches = 1024;
inline constexpr std::chrono::milliseconds kLoadPollInterval{1000};
/// A poll costs about 300 bytes. With 8 groups of 64 endpoints, one poll of
/// each a second would take 150 KB/s of the 11 KB/s that control may use.
inline constexpr size_t kMaxLoadPollsPerSecond = 16;
inline constexpr std::chrono::milliseconds kLoadPollTimeout{900};
inline constexpr std::chrono::seconds kOutlierWindow{10};
inline constexpr std::chrono::seconds kMinEjection{5};
inline constexpr std::chrono::seconds kMaxEjection{300};

// Admission, customers and retries.
inline constexpr std::chrono::milliseconds kDefaultClientTimeout{3000};
/// Requests of one daemon that wait for their first token.
inline constexpr size_t kMaxWaitingForFirstToken = 4096;
inline constexpr size_t kMaxTrackedCustomers = 40000;
inline constexpr std::chrono::seconds kCustomerIdleLifetime{60};
inline constexpr std::chrono::minutes kMembershipWindow{10};
inline constexpr std::chrono::seconds kRetryWindow{10};
inline constexpr size_t kMaxRetryRoutes = 1024;
inline constexpr std::chrono::milliseconds kMinRetryBackoff{50};
inline constexpr std::chrono::milliseconds kMaxRetryBackoff{1000};
/// Limits of the wait for the first token, without the queue.
inline constexpr std::chrono::milliseconds kMinFirstTokenTimeout{500};
inline constexpr std::chrono::milliseconds kMaxFirstTokenTimeout{1500};

// Membership.
/// Largest datagram; fits every link without fragments.
inline constexpr size_t kMaxMemberDatagramBytes = 1200;
/// Known members, dead ones included; 380 live ones are the target.
inline constexpr size_t kMaxMembers = 1024;
inline constexpr size_t kMaxNotices = 512;
inline constexpr size_t kMaxNoticeKeyBytes = 128;
inline constexpr size_t kMaxRegionNameBytes = 64;
/// Members that died or left stay known for this long, so that old news does
/// not bring them back and a healed link finds them.
inline constexpr std::chrono::hours kDeadMemberRetention{1};

// Gateway: endpoints registered in the platform's store.
/// Entries that lapse while the store is down are back this long after its
/// return; until then their endpoints are a last resort.
inline constexpr std::chrono::milliseconds kExpiredEntryGrace{2000};
/// What was seen of an endpoint is forgotten this long after it has gone.
inline constexpr std::chrono::seconds kRemovedEndpointRetention{30};
/// Records are looked through for gone ones at this interval.
inline constexpr std::chrono::seconds kRemovedEndpointSweepInterval{5};
/// An endpoint that was lost once gets no work for this long while there are
/// others. It doubles with each loss in a row.
inline constexpr std::chrono::milliseconds kLostEndpointPause{1000};
/// An endpoint that is full gets no work for this long while there are others.
inline constexpr std::chrono::milliseconds kRefusedEndpointPause{100};
/// Longest time for which an endpoint that refused is left alone on its word.
inline constexpr std::chrono::hours kMaxRequestedPause{1};
/// Losses of this many endpoints of a failure domain within this time are
/// taken for a loss of the domain.
inline constexpr size_t kMinDomainLosses = 2;
inline constexpr std::chrono::milliseconds kDomainLossWindow{400};
inline constexpr std::chrono::milliseconds kLostDomainPause{1300};
/// Pause of an endpoint that was lost with its domain. The entry of a crashed
/// endpoint lapses after three heartbeats of 1.2 s.
inline constexpr std::chrono::milliseconds kCrashedEndpointPause{5000};

// Gateway: attempts.
/// Two round trips between regions and the time to accept.
inline constexpr std::chrono::milliseconds kEndpointConnectTimeout{300};
inline constexpr size_t kMaxEndpointHeadBytes = 32 * 1024;
inline constexpr size_t kMaxWholeAnswerBytes = 16 * 1024 * 1024;
/// Answers that a gateway holds at once, until each is whole. The smallest VMs
/// have 160 MB.
inline constexpr size_t kMaxBufferedAnswerBytes = 64 * 1024 * 1024;
/// One event of a stream. An engine's event of some tokens has a few hundred
/// bytes.
inline constexpr size_t kMaxEventBytes = 256 * 1024;
/// Longest pause of a stream before it is moved. An engine that reads another
/// prompt makes an event of 8 tokens in about 230 ms.
inline constexpr std::chrono::milliseconds kMaxEventSilence{400};
/// A failure domain in which all streams are silent for this long is lost.
inline constexpr std::chrono::milliseconds kMaxDomainSilence{250};
inline constexpr std::chrono::milliseconds kSilenceCheckInterval{50};
/// Longest wait for the first event before another engine is tried.
inline constexpr std::chrono::milliseconds kFirstEventTimeout{4500};
/// An engine sends the first part of a copy this long after the first event.
inline constexpr std::chrono::milliseconds kMinBackupAge{250};
/// Copies of a run's memory by order. Engines keep one for 4 s after its last
/// part; a renewed one takes only what is new.
inline constexpr std::chrono::milliseconds kCopyRequestInterval{3000};
inline constexpr int kMaxCopyRequests = 8;
inline constexpr std::chrono::milliseconds kCopyReleaseTime{1000};
/// Sends of a request beyond its route's limit on runs, while none has run.
inline constexpr int kMaxExtraSends = 3;
/// Streams that reach a stopping daemon come back at once: they go elsewhere.
inline constexpr std::chrono::milliseconds kDrainRetryAfter{50};
/// A connection that was answered is closed after this time at the latest.
inline constexpr std::chrono::milliseconds kCallerLinger{1000};
/// Output buffered for a slow caller before the endpoint is no longer read.
inline constexpr size_t kMaxCallerBacklogBytes = 64 * 1024;
/// Bytes that a caller may send ahead of the answer to its last request.
inline constexpr size_t kMaxPipelinedCallerBytes = 64 * 1024;
/// What callers are told to wait when all endpoints are busy or unknown.
inline constexpr std::chrono::milliseconds kBusyRetryAfter{300};

// Gateway: prompts that engines have read.
/// Engines keep prompts about this long under the usual load.
inline constexpr std::chrono::seconds kPromptLocationLifetime{30};
/// Entries of one row, each about 30 bytes; a row may have 64 KB.
inline constexpr size_t kMaxPromptLocations = 1000;
/// Shortest time between two writes of a gateway's row. A stream has its first
/// event after about a second, and only then is there anything to go on with.
inline constexpr std::chrono::milliseconds kPromptWriteInterval{1000};
inline constexpr std::chrono::milliseconds kPromptWriteIntervalPerReader{160};
/// Shortest time between two hand-overs to a gateway that reads the store.
inline constexpr std::chrono::milliseconds kPromptHandOverInterval{500};
/// A lookup that finds nothing in rows that were read within this time does not
/// read them again.
inline constexpr std::chrono::milliseconds kPromptTableFreshness{200};
/// A caller that comes back waits at most this long for the lookup.
inline constexpr std::chrono::milliseconds kPromptLookupTimeout{150};

// Gateway: start.
/// Requests that arrive before the first configuration wait for it. Two calls
/// to the store from another region take 90 ms.
inline constexpr std::chrono::milliseconds kMaxStartWait{600};
inline constexpr std::chrono::milliseconds kStartCheckInterval{20};
inline constexpr size_t kMaxStartWaiters = 1024;
inline constexpr size_t kMaxStartWaitBytes = 16 * 1024 * 1024;

// Gateway: planned stops.
/// The balancer asks once a second and stops sending after two misses.
inline constexpr std::chrono::milliseconds kDrainNoticeTime{2500};
/// Kept from the time that is left, so that the last bytes arrive.
inline constexpr std::chrono::milliseconds kDrainMargin{300};
inline constexpr std::chrono::milliseconds kDrainCheckInterval{100};
/// A request that comes this late before the end is refused.
inline constexpr std::chrono::milliseconds kDrainRefuseTime{1000};

// Gateway: the store.
/// Answers to a wait for changes may be this late.
inline constexpr std::chrono::milliseconds kStoreWaitTimeout{500};
inline constexpr std::chrono::milliseconds kMinStoreRetryDelay{100};
inline constexpr std::chrono::milliseconds kMaxStoreRetryDelay{400};
/// A call to a store that hangs ends with the wait, its time-out and the delay
/// of the retry; together with this margin they last as long as the allowed
/// silence, so that changes made after the store's return are seen in time.
inline constexpr std::chrono::milliseconds kStoreWaitMargin{300};
inline constexpr std::chrono::milliseconds kStoreTimeout{1000};
/// Changes within these times share a call. Calls are paid for, and when a
/// failure domain is lost each of its endpoints changes its entry. The pause
/// grows with the gateways that read the store, so that their calls together do
/// not.
inline constexpr std::chrono::milliseconds kConfigReadPause{100};
inline constexpr std::chrono::milliseconds kEndpointReadPausePerReader{20};
inline constexpr std::chrono::milliseconds kMinEndpointReadPause{100};
inline constexpr std::chrono::milliseconds kMaxEndpointReadPause{1000};

// Gateway: relays.
/// In a failure domain with fewer gateways each one reads the store itself:
/// relays must call it more often, which a few readers do not pay back.
inline constexpr size_t kMinRelayedGateways = 8;
/// Gateways of a relayed domain that read the store. With two, the loss of one
/// leaves the others a relay in their domain.
inline constexpr size_t kRelaysPerDomain = 2;
/// Parts of the shortest bound on news that one wait of a relay at the store,
/// and one wait of a follower at its relay, may take. Both, their time-outs and
/// the delay of the fallback fit into the bound, so that a relay that is cut
/// off or frozen does not break it.
inline constexpr double kRelayStoreWaitShare = 0.3;
inline constexpr double kRelayWaitShare = 0.2;
inline constexpr std::chrono::milliseconds kMaxRelayStoreWait{1500};
inline constexpr std::chrono::milliseconds kMaxRelayWait{1000};
inline constexpr std::chrono::milliseconds kMinRelayWait{200};
/// Time-out of a call to a relay beyond its wait: a round trip between regions
/// and the turn of a slow machine.
inline constexpr std::chrono::milliseconds kRelayTimeout{300};
/// Followers that lose their relay read the store at random moments within this
/// time.
inline constexpr std::chrono::milliseconds kRelayFallbackSpread{300};
/// A source that failed is left out for this long; doubles with each failure in
/// a row, and half of it is random.
inline constexpr std::chrono::milliseconds kMinSourceBackoff{1000};
inline constexpr std::chrono::milliseconds kMaxSourceBackoff{16000};
/// A follower tries the store again sooner, since it is the last resort.
inline constexpr std::chrono::milliseconds kMaxStoreSourceBackoff{4000};
/// Waits at the store begin once the list of gateways is known, or after this
/// time without one.
inline constexpr std::chrono::milliseconds kRelayDecisionTime{2500};
/// Deleted rows that a relay remembers for each table.
inline constexpr size_t kMaxRelayTombstones = 4096;
/// Rows of one answer; well below kMaxPeerBodyBytes.
inline constexpr size_t kMaxRelayAnswerBytes = 512 * 1024;
/// Waits that a relay holds open for each table.
inline constexpr size_t kMaxRelayWaiters = 1024;
/// The list of gateways is read again for an unknown sender at most this often.
inline constexpr std::chrono::seconds kUnknownSenderReadInterval{5};
/// Pause of a follower after changes. Its relay has already let those that come
/// in series share a call.
inline constexpr std::chrono::milliseconds kFollowerReadPause{20};

// Gateway: rollouts.
/// Share of a service's requests that a version gets while it is probed, unless
/// the settings bring other bounds.
inline constexpr double kRolloutProbeShare = 0.06;
/// Requests of each route that all gateways together send at once, so that a
/// rollout of some seconds has evidence.
inline constexpr double kRolloutProbeExtra = 10;
/// Gateways exchange what they have seen at this interval, or a longer one with
/// many that read the store.
inline constexpr std::chrono::milliseconds kMinRolloutPollInterval{1000};
inline constexpr std::chrono::milliseconds kRolloutPollIntervalPerReader{20};
inline constexpr std::chrono::microseconds kRolloutPollJitter{100000};
/// A rollout is completed at least so long before its time is over: the driver
/// decides at its next exchange, then reads and writes the operator's status.
inline constexpr std::chrono::milliseconds kRolloutDeadlineMargin{2500};
/// A driver whose row is unchanged for so many reads is taken to be lost.
inline constexpr int kMaxUnchangedRolloutReads = 3;

// Gateway: peers.
/// One write and one read of the store each. The interval grows with the number
/// of gateways, so that all together make at most five calls a second.
inline constexpr std::chrono::milliseconds kMinPeerHeartbeatInterval{10000};
inline constexpr std::chrono::milliseconds kPeerHeartbeatIntervalPerPeer{400};
inline constexpr std::chrono::microseconds kPeerHeartbeatJitter{2000000};
inline constexpr std::chrono::milliseconds kFirstPeerReadDelay{1500};
/// Gateways that are assumed while their list is not known.
inline constexpr size_t kAssumedPeerCount = 100;

}  // namespace bramleybank

#endif  // BRAMLEYBANK_LIMITS_H_
