// Limits of the system, with their units in the type or the name.
#ifndef BRAMLEYBANK_LIMITS_H_
#define BRAMLEYBANK_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace bramleybank {

// Input from outside in general.
/// Nesting of JSON values from other processes. The JSON library copies and
/// writes nested values by recursion, which overflows the stack at about 60,000
/// levels. Requests and configurations use fewer than 20.
inline constexpr size_t kMaxJsonDepth = 100;

// Input from callers.
inline constexpr size_t kMaxRequestBodyBytes = 1024 * 1024;
inline constexpr size_t kMaxUrlBytes = 2048;
inline constexpr size_t kMaxIdempotencyKeyBytes = 128;
inline constexpr size_t kMaxCustomerNameBytes = 64;
/// Time that a caller may name for its request; longer ones are shortened.
inline constexpr std::chrono::hours kMaxClientTimeout{24};
/// Memory pool of one caller connection, for headers and parts of the answer.
/// The default of libmicrohttpd, 32 KiB, is half of what an open stream may
/// use.
inline constexpr size_t kConnectionPoolBytes = 20 * 1024;
/// Total size of the header names and values of a request. The daemon refuses
/// larger requests. Headers that fill the connection pool are refused by
/// libmicrohttpd with status 431.
inline constexpr size_t kMaxHeaderBytes = 8 * 1024;
inline constexpr unsigned kMaxCallerConnections = 8192;
/// A caller that sends nothing for this long in the middle of a request is
/// disconnected, so that slow senders cannot hold connections forever.
inline constexpr std::chrono::seconds kCallerIdleTimeout{20};
/// Interval at which connections without output are checked for a close by the
/// caller.
inline constexpr std::chrono::milliseconds kCallerCloseCheckInterval{500};

// Streams.
/// Output buffered for one slow caller before the engine transfer is paused.
inline constexpr size_t kMaxBufferedOutputBytes = 256 * 1024;
inline constexpr int kMaxStreamAttempts = 8;
/// Attempt number in the id of a stream event. Attempts are counted up from it.
inline constexpr uint32_t kMaxCursorAttempt = 1'000'000'000;
/// A stream that finds no endpoint for this long fails.
inline constexpr std::chrono::milliseconds kMaxInterruption{3000};
/// Bounds of the time without a token after which a stream is stalled. The
/// upper bound leaves 1.5 s of the 3 s resume target for the new attempt.
inline constexpr std::chrono::milliseconds kMinStallTimeout{250};
inline constexpr std::chrono::milliseconds kMaxStallTimeout{1500};
/// A token waits at most this long until the copy holder acknowledges it.
inline constexpr std::chrono::milliseconds kCopyAckTimeout{50};
/// A copy that gets no message from its owner for this long is dropped.
inline constexpr std::chrono::seconds kCopyIdleLifetime{30};
/// A caller that lost its connection has this long to reconnect before the
/// engine's stream is cancelled.
inline constexpr std::chrono::seconds kCallerReconnectWindow{5};

/// Shortest time between the starts of two batches of copied tokens to one
/// holder, so that several tokens share the cost of a message.
inline constexpr std::chrono::milliseconds kCopyFlushInterval{2};
/// Text and framing of one batch of copied tokens.
inline constexpr size_t kMaxCopyBatchBytes = 64 * 1024;
/// Total size of the copies held for other daemons. This is far above the
/// usual load of 160 streams per daemon, each with about 10 KB per minute.
inline constexpr size_t kMaxCopyStoreBytes = 32 * 1024 * 1024;
/// Size of one copy. The reply to a claim must fit into kMaxPeerBodyBytes.
inline constexpr size_t kMaxCopyBytes = 1024 * 1024;
inline constexpr size_t kMaxCopyTokens = 200'000;
/// Longest delay between two attempts to find a copy holder for a stream that
/// has none.
inline constexpr std::chrono::seconds kMaxHolderRetryDelay{5};

// Links between daemons.
inline constexpr size_t kMaxPeerBodyBytes = 2 * 1024 * 1024;
/// msgpack values in one message. The decoder uses 24 bytes for each.
inline constexpr size_t kMaxPeerMessageItems = 256 * 1024;
/// Unsent request bodies that are queued for one peer.
inline constexpr size_t kMaxPeerQueuedBytes = 4 * 1024 * 1024;
inline constexpr size_t kMaxPeerOpenCalls = 16 * 1024;
/// Partly received request bodies of all connections of a server.
inline constexpr size_t kMaxPeerServerBytes = 32 * 1024 * 1024;
/// Unsent replies of one connection; further requests on it are refused.
inline constexpr size_t kMaxPeerUnsentReplyBytes = 8 * 1024 * 1024;
inline constexpr size_t kMaxPeerPathBytes = 256;
inline constexpr unsigned kMaxPeerConnections = 1024;
inline constexpr unsigned kMaxPeerStreams = 1024;
inline constexpr std::chrono::seconds kPeerIdleTimeout{60};
/// A client sends a PING when it has received nothing or sent nothing for this
/// long. A server waits longer, so that usually only one side sends PINGs.
inline constexpr std::chrono::milliseconds kPeerPingDelay{1000};
inline constexpr std::chrono::milliseconds kPeerServerPingDelay{1500};
/// A connection on which nothing is received for this long is closed. Together
/// with the check interval this stays below the 3 s within which the loss of a
/// peer must be detected.
inline constexpr std::chrono::milliseconds kPeerSilenceTimeout{2500};
inline constexpr std::chrono::milliseconds kPeerCheckInterval{250};

// Non-idempotent calls.
inline constexpr size_t kMaxInlineResultBytes = 64 * 1024;
inline constexpr std::chrono::milliseconds kRecordBeforeAnswerTimeout{250};

/// A claim whose call is not sent within this time is abandoned. The time
/// covers the write of the claim and one read back, each of which takes at most
/// kPlatformTimeout.
inline constexpr std::chrono::milliseconds kCallClaimTimeout{3000};
/// A caller waits at most this long for the result of another daemon's claim.
inline constexpr std::chrono::seconds kCallWaitTimeout{30};
/// Timeout of one request to a plain service.
inline constexpr std::chrono::seconds kServiceTimeout{30};
/// Larger answers to a non-idempotent call are not stored: the caller is told
/// that the outcome is unknown, and the call is not run again.
inline constexpr size_t kMaxServiceAnswerBytes = 4 * 1024 * 1024;
inline constexpr std::chrono::milliseconds kMinCallBackoff{50};
inline constexpr std::chrono::milliseconds kMaxCallBackoff{1000};
/// Results and releases that cannot be written to the table are dropped after
/// this time, so that a long outage does not exhaust the memory.
inline constexpr std::chrono::minutes kCallBackgroundTimeout{10};
/// Endpoints that are tried for one call until one accepts a connection.
inline constexpr int kMaxCallConnects = 3;
/// Retries of an idempotent request after its first try.
inline constexpr int kMaxIdempotentRetries = 2;

// Transfers to endpoints and the platform.
/// Status lines and headers of one answer, interim answers included.
inline constexpr size_t kMaxClientHeadBytes = 64 * 1024;
/// Body of one answer that is collected. The largest is a configuration
/// snapshot of about 6 MB.
inline constexpr size_t kMaxClientBodyBytes = 32 * 1024 * 1024;
inline constexpr std::chrono::milliseconds kConnectTimeout{800};
inline constexpr std::chrono::milliseconds kPlatformTimeout{1000};
/// Table writes that arrive within this time share one batch.
inline constexpr std::chrono::milliseconds kTableBatchWindow{2};
inline constexpr size_t kMaxTableBatchRows = 64;
inline constexpr size_t kMaxTableBatchBytes = 512 * 1024;

// Routing.
/// Half-life of all measurements of an endpoint.
inline constexpr std::chrono::seconds kObservationHalfLife{5};
/// 12,000 endpoints, and removed ones that still have open streams.
inline constexpr size_t kMaxEndpoints = 16384;
/// Endpoints of a group that one daemon polls and prefers (its subset).
inline constexpr size_t kSubsetSize = 64;
/// Endpoints of the subset that may be in the daemon's own failure domain when
/// there are other domains. The rest allows work to move away from a busy or
/// lost domain.
inline constexpr size_t kSubsetOwnDomainSize = 48;
/// A request is sent to another failure domain only when that is expected to
/// save more than this.
inline constexpr std::chrono::milliseconds kRegionThreshold{80};
/// A request is sent to another region only when that is expected to save more
/// than this.
inline constexpr std::chrono::milliseconds kCrossRegionThreshold{400};
/// Share of an engine's slots that long generations may occupy.
inline constexpr double kLongSlotShare = 0.8;
/// Prompt tokens that one prefix hash covers.
inline constexpr uint32_t kPrefixBlockTokens = 64;
/// Endpoints with an estimate of their prefix cache: 8 groups of 64, and spare
/// room.
inline constexpr size_t kMaxPrefixCaches = 1024;
inline constexpr std::chrono::milliseconds kLoadPollInterval{1000};
/// A poll costs about 300 bytes. One poll per second of each endpoint in 8
/// groups of 64 would take 150 KB/s, but control traffic may use 11 KB/s.
inline constexpr size_t kMaxLoadPollsPerSecond = 16;
inline constexpr std::chrono::milliseconds kLoadPollTimeout{900};
inline constexpr std::chrono::seconds kOutlierWindow{10};
inline constexpr std::chrono::seconds kMinEjection{5};
inline constexpr std::chrono::seconds kMaxEjection{300};

// Admission, customers and retries.
inline constexpr std::chrono::milliseconds kDefaultClientTimeout{3000};
/// Requests in one daemon that wait for their first token.
inline constexpr size_t kMaxWaitingForFirstToken = 4096;
inline constexpr size_t kMaxTrackedCustomers = 40000;
inline constexpr std::chrono::seconds kCustomerIdleLifetime{60};
inline constexpr std::chrono::minutes kMembershipWindow{10};
inline constexpr std::chrono::seconds kRetryWindow{10};
inline constexpr size_t kMaxRetryRoutes = 1024;
inline constexpr std::chrono::milliseconds kMinRetryBackoff{50};
inline constexpr std::chrono::milliseconds kMaxRetryBackoff{1000};
/// Bounds of the timeout for the first token, not counting time in the queue.
inline constexpr std::chrono::milliseconds kMinFirstTokenTimeout{500};
inline constexpr std::chrono::milliseconds kMaxFirstTokenTimeout{1500};

// Membership.
/// Largest datagram. It fits every link without fragmentation.
inline constexpr size_t kMaxMemberDatagramBytes = 1200;
/// Known members, including dead ones. The target is 380 live members.
inline constexpr size_t kMaxMembers = 1024;
inline constexpr size_t kMaxNotices = 512;
inline constexpr size_t kMaxNoticeKeyBytes = 128;
inline constexpr size_t kMaxRegionNameBytes = 64;
/// Members that died or left are kept in the table for this long, so that a
/// stale message does not add them again and they are found when a network
/// partition ends.
inline constexpr std::chrono::hours kDeadMemberRetention{1};

// Gateway: endpoints registered in the platform's store.
/// Entries that expire while the store is down are registered again at most
/// this long after it recovers. Until then their endpoints are used only when
/// there are no others.
inline constexpr std::chrono::milliseconds kExpiredEntryGrace{2000};
/// An entry of an endpoint that had left can return with an older copy of the
/// store, and nobody renews it. It expires within this time.
inline constexpr std::chrono::seconds kRestoredEntryExpiry{10};
/// The measurements of an endpoint are deleted this long after its removal.
inline constexpr std::chrono::seconds kRemovedEndpointRetention{30};
/// The record of a removed endpoint with a rate limit is kept for this long: if
/// its entry returns, no gateway sends a request to learn of the limit again.
inline constexpr std::chrono::minutes kRateLimitRetention{10};
/// Interval at which the records of removed endpoints are searched for expired
/// ones.
inline constexpr std::chrono::seconds kRemovedEndpointSweepInterval{5};
/// After a loss, an endpoint gets no work for this long while there are others.
/// The pause doubles with each consecutive loss.
inline constexpr std::chrono::milliseconds kLostEndpointPause{1000};
/// An endpoint that is full gets no work for this long while there are others.
inline constexpr std::chrono::milliseconds kRefusedEndpointPause{100};
/// Upper bound on the pause that a refusing endpoint may request.
inline constexpr std::chrono::hours kMaxRequestedPause{1};
/// A failure domain is considered lost when at least kMinDomainLosses of its
/// endpoints are lost within kDomainLossWindow.
inline constexpr size_t kMinDomainLosses = 2;
inline constexpr std::chrono::milliseconds kDomainLossWindow{400};
inline constexpr std::chrono::milliseconds kLostDomainPause{1300};
/// Pause of an endpoint that was lost with its domain. The entry of a crashed
/// endpoint expires after three heartbeats of 1.2 s.
inline constexpr std::chrono::milliseconds kCrashedEndpointPause{5000};

/// Slots that an endpoint may name in its entry.
inline constexpr uint64_t kMaxEndpointSlots = 1'000'000;
/// Times and counts in rows of the store; larger ones are reduced to these.
inline constexpr std::chrono::hours kMaxConfiguredTime{24 * 365};
inline constexpr double kMaxConfiguredCount = 1e9;
/// Clock of the store. Larger values could overflow where times are added.
inline constexpr std::chrono::hours kMaxStoreTime{24 * 365 * 1000};
/// Names and handles of other processes that become parts of headers.
inline constexpr size_t kMaxWireNameBytes = 200;
/// Tokens that a request may name; larger numbers are reduced to this.
inline constexpr int64_t kMaxRequestTokens = 100'000'000;

// Gateway: attempts.
/// Covers two round trips between regions and the accept of the connection.
inline constexpr std::chrono::milliseconds kEndpointConnectTimeout{300};
inline constexpr size_t kMaxEndpointHeadBytes = 32 * 1024;
/// A field takes far more memory than its bytes if it is short.
inline constexpr size_t kMaxEndpointHeaderFields = 256;
inline constexpr size_t kMaxWholeAnswerBytes = 16 * 1024 * 1024;
/// Blocks in which a buffered answer grows. The largest ones are small enough
/// for the heap to reuse them.
inline constexpr size_t kMinAnswerBlockBytes = 1024;
inline constexpr size_t kMaxAnswerBlockBytes = 64 * 1024;
/// Size of one stream event. An engine's event with several tokens has a few
/// hundred bytes.
inline constexpr size_t kMaxEventBytes = 256 * 1024;
/// Memory that an open stream keeps for the event that is arriving.
inline constexpr size_t kEventBufferBytes = 2 * 1024;
/// Longest pause between two events, and target for the first one, on routes
/// that name none.
inline constexpr std::chrono::milliseconds kDefaultEventGap{700};
inline constexpr std::chrono::milliseconds kDefaultFirstEventTarget{4500};
/// An engine whose stream is silent is probed after these shares of the route's
/// longest pause and of its target for the first event. An engine that reads
/// another prompt meanwhile takes about 230 ms for an event of 8 tokens.
inline constexpr double kSuspiciousGapShare = 0.35;
inline constexpr double kSuspiciousTargetShare = 0.5;
inline constexpr std::chrono::milliseconds kMinSuspiciousSilence{150};
/// A probe that is not answered within this time shows that its engine is lost;
/// connecting and asking take 80 ms between regions. The time is shorter if
/// several engines of a failure domain are silent.
inline constexpr std::chrono::milliseconds kProbeTimeout{150};
inline constexpr std::chrono::milliseconds kDomainProbeTimeout{100};
/// Time between two probes of an engine; it doubles with each answer as long as
/// they follow each other within kProbeStreakTime.
inline constexpr std::chrono::milliseconds kMinProbeInterval{150};
inline constexpr std::chrono::milliseconds kProbeStreakTime{5000};
/// What a probe has shown is deleted after this time.
inline constexpr std::chrono::seconds kProbeRetention{30};
/// The state in an engine's report may be this old when it arrives.
inline constexpr std::chrono::milliseconds kMaxReportAge{500};
/// Shortest silence after which a report may show that a run is lost.
inline constexpr std::chrono::milliseconds kMinLostRunSilence{400};
/// Callers abandon a stream, also before its first event, after the longest of
/// this time, this many latency targets and this many longest pauses. Until
/// then the silence of a working engine is no reason to move the stream.
inline constexpr std::chrono::seconds kMinCallerPatience{2};
inline constexpr int kCallerPatienceTargets = 4;
inline constexpr int kCallerPatienceGaps = 8;
inline constexpr std::chrono::milliseconds kSilenceCheckInterval{50};
/// Interval at which a successor is looked for while a silent attempt is kept,
/// and the one for successors that only need a permit.
inline constexpr std::chrono::milliseconds kSilenceRecheckInterval{1000};
inline constexpr std::chrono::milliseconds kPermitRecheckInterval{100};
/// A silent attempt ends when the endpoint that is to replace it has not
/// refused for this long; connecting and refusing take 80 ms between regions.
/// An endpoint that has become suspect meanwhile is given up after the longer
/// time unless its answer begins.
inline constexpr std::chrono::milliseconds kAcceptanceTime{150};
inline constexpr std::chrono::milliseconds kMaxAcceptanceTime{450};
/// Earliest time after the first event at which the engine sends the first part
/// of a copy.
inline constexpr std::chrono::milliseconds kMinBackupAge{250};
/// Shortest time between two requests to an engine to copy the KV cache of a
/// run to its backup. Engines keep a copy for 4 s after its last part; a
/// repeated request transfers only what is new.
inline constexpr std::chrono::milliseconds kCopyRequestInterval{3000};
inline constexpr int kMaxCopyRequests = 8;
/// Answer of an engine to a copy request or to a probe of its report.
inline constexpr size_t kMaxEngineReplyBytes = 64 * 1024;
/// Longest time until the answer to a copy request or a probe is complete.
inline constexpr std::chrono::milliseconds kEngineReplyTimeout{3000};
inline constexpr std::chrono::milliseconds kCopyReleaseTime{1000};
/// Sends of a request beyond its route's limit on attempts, as long as no
/// attempt has run.
inline constexpr int kMaxExtraSends = 3;
/// Part of a gateway's retry budget that is added for streams that have begun.
/// Together with it, gateways use nine tenths of the platform's limit.
inline constexpr double kBegunRetryReserve = 0.2;
/// Sends that a request may make after each wait, when all endpoints have
/// refused it.
inline constexpr int kSendsPerWait = 2;
/// A stream that has begun and finds no endpoint asks again after this time,
/// which doubles up to the longer one.
inline constexpr std::chrono::milliseconds kMinEndpointWait{250};
inline constexpr std::chrono::milliseconds kMaxEndpointWait{1000};
/// Retry-After for streams that reach a stopping daemon. It is short because
/// the retry reaches another daemon.
inline constexpr std::chrono::milliseconds kDrainRetryAfter{50};
/// Longest time until a connection is closed after its last answer has been
/// handed to the operating system.
inline constexpr std::chrono::milliseconds kCallerLinger{1000};
/// A connection that is to be closed and has unsent output is cut off when its
/// caller takes less than kMinCallerProgressBytes of it within this time.
/// A slow receiver acknowledges in steps of its buffer, often 64 KB.
inline constexpr std::chrono::milliseconds kCallerStallWindow{15000};
inline constexpr size_t kMinCallerProgressBytes = 4 * 1024;
/// Output buffered for a slow caller before reading from the endpoint stops
/// (back pressure).
inline constexpr size_t kMaxCallerBacklogBytes = 64 * 1024;
/// Bytes of pipelined requests that a caller may send before its last request
/// is answered.
inline constexpr size_t kMaxPipelinedCallerBytes = 64 * 1024;
/// Bytes that a closing connection still sends and that are read and dropped.
/// Further ones are left unread, which slows the sender down until the
/// connection is closed.
inline constexpr size_t kMaxDiscardedCallerBytes = 32 * 1024 * 1024;
/// Shortest time between two searches for an idle connection that makes room
/// for a new one, and between two log lines on callers that were turned away.
inline constexpr std::chrono::milliseconds kCallerLimitInterval{100};

// Memory budget of a gateway.
/// Share of the budget that owners of more than kMaxSmallOwnerBytes may use
/// together. The rest is for ordinary requests.
inline constexpr double kLargeOwnerShare = 0.75;
inline constexpr size_t kMaxSmallOwnerBytes = 64 * 1024;
/// Answers of endpoints that hold no more have a reserve of their own, this
/// fraction of the budget.
inline constexpr size_t kMaxSmallAnswerBytes = 4 * 1024;
inline constexpr size_t kSmallAnswerDivisor = 4;
/// A connection is closed for others only after this time without progress, as
/// long as the budget is not exceeded.
inline constexpr std::chrono::milliseconds kMinStall{1000};
/// The same while the budget is exceeded. It excludes connections that wait for
/// this process and not for their caller.
inline constexpr std::chrono::milliseconds kMinStallWhenFull{20};
inline constexpr std::chrono::milliseconds kMemoryCheckInterval{50};
/// Owners that hold less are not evicted, in the first case for one that waits:
/// that would close many ordinary connections and free little.
inline constexpr size_t kMinEvictedBytes = 16 * 1024;
inline constexpr size_t kMinEvictedBytesWhenFull = 1024;
/// Memory for one header field: its two strings, twice because of the spare
/// capacity of the list.
inline constexpr size_t kHeaderFieldBytes = 128;
/// Body of a request on a port for operators; these requests need none.
inline constexpr size_t kMaxOperatorBodyBytes = 16 * 1024;
/// Bytes of a refused body that are read and dropped. Beyond them the
/// connection is closed without an answer.
inline constexpr size_t kMaxDroppedBodyBytes = 16 * 1024 * 1024;
/// Retry-After for callers when all endpoints are busy or none is known.
inline constexpr std::chrono::milliseconds kBusyRetryAfter{300};

// Gateway: loads of engines, exchanged between gateways.
/// A placement waits at most this long for the loads. A round trip within a
/// failure domain takes about 1 ms, and a coordinator on a slow VM some more.
inline constexpr std::chrono::milliseconds kLoadQueryTimeout{50};
/// Changes within this time share one report.
inline constexpr std::chrono::milliseconds kLoadReportInterval{50};
inline constexpr std::chrono::milliseconds kLoadReportTimeout{500};
/// A load that does not change is reported again after this time.
inline constexpr std::chrono::milliseconds kLoadHeartbeatInterval{1000};
/// A report counts in full until this age, one lost heartbeat included, and not
/// at all after kMaxLoadAge.
inline constexpr std::chrono::milliseconds kFullLoadAge{2000};
inline constexpr std::chrono::milliseconds kMaxLoadAge{4000};
/// Gateways of a failure domain that may collect its loads, and the time for
/// which one that has not answered is left out.
inline constexpr size_t kLoadCoordinatorsPerDomain = 2;
inline constexpr std::chrono::milliseconds kLoadCoordinatorPause{1000};
/// Shortest time between two totals sent to a domain of the same region and of
/// another one, where traffic is billed and engines are chosen less often.
inline constexpr std::chrono::milliseconds kRegionLoadInterval{125};
inline constexpr std::chrono::milliseconds kRemoteLoadInterval{500};
/// Engines in one message, each about 15 bytes, and speeds, each about 9.
inline constexpr size_t kMaxLoadEntries = 4096;
inline constexpr size_t kMaxSpeedsPerReport = 256;
inline constexpr size_t kMaxSpeedsInTotals = 32;
/// Lost engines in one report, and the time for which a coordinator passes a
/// loss on. Gateways that learn of it avoid the engine for at least as long.
inline constexpr size_t kMaxLossesPerReport = 256;
inline constexpr std::chrono::milliseconds kLossReportAge{1000};
inline constexpr size_t kMaxLoadMessageBytes = 256 * 1024;
/// Tokens are sent in this unit.
inline constexpr uint64_t kLoadTokenUnit = 64;
inline constexpr size_t kMaxKnownSpeeds = 16384;
/// Senders of refused reports that are logged.
inline constexpr size_t kMaxLoggedLoadSenders = 1024;

// Gateway: endpoints that limit the rate of their requests.
/// Share of a limit for which permits are issued. Two gateways that issue
/// permits of one endpoint for a moment exceed the limit by less than a half.
inline constexpr double kPermitRateShare = 0.7;
/// Permits per second however low the limit is: only the answer to a request
/// tells that a limit has ended.
inline constexpr double kMinPermitRate = 0.1;
/// A permit that is not used within this time is lost.
inline constexpr std::chrono::milliseconds kPermitLifetime{500};
/// Permits that an issuer saves up while no gateway asks, at least one.
inline constexpr std::chrono::milliseconds kMaxPermitAccumulation{250};
inline constexpr uint32_t kMaxPermitsPerQuery = 64;
/// Bounds of the time after which a gateway that got no permit asks again. It
/// grows with the number of gateways that ask, which bounds their queries.
inline constexpr std::chrono::milliseconds kMinPermitRetryDelay{50};
inline constexpr std::chrono::milliseconds kMaxPermitRetryDelay{4000};
/// Endpoints of which one gateway issues permits.
inline constexpr size_t kMaxPermitBuckets = 4096;
/// Gateways that may issue the permits of an endpoint; the second one does so
/// while the first does not answer.
inline constexpr size_t kPermitIssuers = 2;
inline constexpr std::chrono::milliseconds kPermitQueryTimeout{300};
inline constexpr std::chrono::seconds kPermitIssuerPause{5};
/// Interval at which a gateway without an issuer draws its part of a limit.
inline constexpr std::chrono::milliseconds kEvenSharePeriod{1000};
/// Longest time that a request waits for a permit while no endpoint may get it.
inline constexpr std::chrono::milliseconds kMaxPermitWait{500};

// Gateway: locations of processed prompts.
/// Engines keep a processed prompt for about this long under the usual load.
inline constexpr std::chrono::seconds kPromptLocationLifetime{30};
/// Entries of one row, each about 30 bytes. A row may have 64 KB.
inline constexpr size_t kMaxPromptLocations = 1000;
/// Shortest time between two writes of a gateway's row. A stream has its first
/// event after about a second and cannot be resumed earlier.
inline constexpr std::chrono::milliseconds kPromptWriteInterval{1000};
inline constexpr std::chrono::milliseconds kPromptWriteIntervalPerReader{160};
/// Shortest time between two transfers of prompt locations to a gateway that
/// reads the store.
inline constexpr std::chrono::milliseconds kPromptHandOverInterval{500};
/// Rows that were read within this time are not read again when a lookup finds
/// nothing in them.
inline constexpr std::chrono::milliseconds kPromptTableFreshness{200};
/// A caller that reconnects waits at most this long for the lookup.
inline constexpr std::chrono::milliseconds kPromptLookupTimeout{150};

// Gateway: prompt parts that crash endpoints.
/// Parts of one prompt that can be suspected; further ones are not looked at.
inline constexpr size_t kMaxSuspectParts = 16;
/// Suspects of one service; its row has at most 20 KB.
inline constexpr size_t kMaxPromptSuspects = 64;
inline constexpr size_t kMaxSuspectCompanions = 4;
inline constexpr size_t kMaxSuspectEndpointBytes = 128;
/// Services with suspects.
inline constexpr size_t kMaxSuspectServices = 1024;
/// Parts of each service of which a gateway remembers that an answer to them
/// has begun.
inline constexpr size_t kMaxBegunParts = 8192;
/// Weight of one crash. An endpoint that had sent the head of its answer was
/// about to write it; one that had not may have crashed on another request, or
/// with others for a common cause.
inline constexpr int kCrashWeight = 3;
inline constexpr int kWeakCrashWeight = 2;
/// The latter if answers to all parts of the request had begun before.
inline constexpr int kKnownWeakCrashWeight = 1;
inline constexpr int kMaxCrashWeight = 1000000;
/// Weight at which a part is quarantined.
inline constexpr int kQuarantineWeight = 6;
/// The same for a part to which an answer has begun before its crashes.
inline constexpr int kKnownQuarantineWeight = 8;
/// A crash is reported after this time. Losses of endpoints within it are
/// related, and answers that begin within it clear the parts.
inline constexpr std::chrono::milliseconds kCrashHoldTime{200};
inline constexpr size_t kMinRelatedCrashes = 3;
/// Crashes within this time after a gateway has learned of the previous one are
/// the same event. Together with kCrashHoldTime this separates events by at
/// least 300 ms.
inline constexpr std::chrono::milliseconds kCrashSettleTime{100};
/// Crashes that a gateway holds, losses that it remembers, and changes of the
/// suspects of one service that wait for the store.
inline constexpr size_t kMaxHeldCrashes = 64;
inline constexpr size_t kMaxRecentLosses = 256;
inline constexpr size_t kMaxSuspectChanges = 64;
/// A part that is not quarantined and had no crash for this long is forgotten.
inline constexpr std::chrono::minutes kPromptSuspectTime{10};
/// Time until one request with a quarantined part is let through as a trial. It
/// doubles with each trial up to nine hours, so that a lasting fault costs
/// three endpoints in the first quarter of an hour.
inline constexpr std::chrono::seconds kQuarantineTime{60};
inline constexpr int kMaxQuarantineDoublings = 9;
inline constexpr int kMaxPromptTrials = 1000000;
/// Gateways that know a suspect to be sound say so at random moments within
/// this time, so that most of them learn it before they write.
inline constexpr std::chrono::milliseconds kSuspectMarkSpread{800};
/// Upper bound of the random pause before a conflicting write of the suspects
/// is repeated; it grows with each conflict.
inline constexpr std::chrono::milliseconds kSuspectConflictPause{60};
inline constexpr int kMaxSuspectConflicts = 12;
/// Longest wait for the newer row after a conflict.
inline constexpr std::chrono::milliseconds kSuspectRowWait{1000};
inline constexpr std::chrono::milliseconds kSuspectRetryDelay{500};
/// Gateways that read the store write again what a restore took out of a row of
/// suspects, at random moments within this time. Even if 304 of them did so and
/// each saw the others' writes 0.5 s late, this would be 76 writes in 0.5 s, a
/// quarter of the 400 writes a second that the store takes at least. The other
/// gateways follow within three times this time if the row lacks it by then.
inline constexpr std::chrono::milliseconds kSuspectRestoreSpread{2000};
inline constexpr int kSuspectFollowerSpreads = 3;
inline constexpr std::chrono::milliseconds kSuspectCheckInterval{50};
/// Longest time for which a request waits to become the trial.
inline constexpr std::chrono::milliseconds kMaxTrialWait{1000};

// Gateway: start.
/// Requests that arrive before the first configuration wait for it. Two calls
/// to the store from another region take 90 ms.
inline constexpr std::chrono::milliseconds kMaxStartWait{600};
inline constexpr std::chrono::milliseconds kStartCheckInterval{20};
inline constexpr size_t kMaxStartWaiters = 1024;
inline constexpr size_t kMaxStartWaitBytes = 16 * 1024 * 1024;

// Gateway: planned stops.
/// The load balancer polls readiness once a second and stops sending requests
/// after two failures.
inline constexpr std::chrono::milliseconds kDrainNoticeTime{2500};
/// Reserved at the end of the drain time, so that the last bytes arrive.
inline constexpr std::chrono::milliseconds kDrainMargin{300};
inline constexpr std::chrono::milliseconds kDrainCheckInterval{100};
/// Part of the margin in which requests are refused that wait behind others on
/// their connections. It bounds the time that a caller can take by sending on.
inline constexpr std::chrono::milliseconds kDrainLastAnswersTime{100};
/// No request is sent within this time before the end of the drain. Also the
/// reserve beyond the expected time of an idempotent request.
inline constexpr std::chrono::milliseconds kDrainRefuseTime{1000};
/// Answers by which the duration of a route's requests is judged: the last
/// ones, and the fewest that say anything.
inline constexpr size_t kAnswerTimesPerRoute = 50;
inline constexpr size_t kMinAnswerTimes = 10;
/// Routes whose answers are known at a time.
inline constexpr size_t kMaxAnswerTimeRoutes = 4096;
/// Share of an idempotent route's answers, in percent, that end within the time
/// that is expected of the next one.
inline constexpr size_t kSafeStopQuantilePercent = 90;
/// Reserve beyond the longest known answer of a non-idempotent route: one
/// quarter of it, and the time for which a sound server may fall silent.
inline constexpr int kUnsafeStopReserveShare = 4;
inline constexpr std::chrono::milliseconds kUnsafeStopReserve{1500};
/// A connection that has just been accepted has this long for the first bytes
/// of its request before it counts as idle.
inline constexpr std::chrono::milliseconds kDrainFirstRequestTime{500};
/// A stopping gateway accepts connections until none has come for this long.
inline constexpr std::chrono::milliseconds kDrainQuietTime{500};

// Gateway: the store.
/// Time that the answer to a wait for changes may take beyond the wait itself.
inline constexpr std::chrono::milliseconds kStoreWaitTimeout{500};
inline constexpr std::chrono::milliseconds kMinStoreRetryDelay{100};
inline constexpr std::chrono::milliseconds kMaxStoreRetryDelay{400};
/// Margin in the bound on stale data. When the store hangs, a wait, its timeout
/// and the retry delay pass before the next call. Together with this margin
/// they add up to the bound, so that changes made after the store recovers are
/// seen in time.
inline constexpr std::chrono::milliseconds kStoreWaitMargin{300};
inline constexpr std::chrono::milliseconds kStoreTimeout{1000};
/// Pause before the next read of the store, so that changes within it share one
/// call. Calls are paid for, and when a failure domain is lost, each of its
/// endpoints changes its entry. The pause grows with the number of gateways
/// that read the store, so that their total number of calls does not.
inline constexpr std::chrono::milliseconds kConfigReadPause{100};
inline constexpr std::chrono::milliseconds kEndpointReadPausePerReader{20};
inline constexpr std::chrono::milliseconds kMinEndpointReadPause{100};
inline constexpr std::chrono::milliseconds kMaxEndpointReadPause{1000};

// Gateway: relays.
/// In a failure domain with fewer gateways, each one reads the store itself:
/// relays call the store more often, which saves nothing with few gateways.
inline constexpr size_t kMinRelayedGateways = 8;
/// Gateways of a relayed domain that read the store. With two, the domain still
/// has a relay after the loss of one.
inline constexpr size_t kRelaysPerDomain = 2;
/// Shares of the shortest bound on stale data that one wait of a relay at the
/// store, and one wait of a follower at its relay, may take. Both waits, their
/// timeouts and the fallback delay fit into the bound, so that it also holds
/// when a relay is cut off or frozen.
inline constexpr double kRelayStoreWaitShare = 0.3;
inline constexpr double kRelayWaitShare = 0.2;
inline constexpr std::chrono::milliseconds kMaxRelayStoreWait{1500};
inline constexpr std::chrono::milliseconds kMaxRelayWait{1000};
inline constexpr std::chrono::milliseconds kMinRelayWait{200};
/// Timeout of a call to a relay beyond its wait: a round trip between regions
/// and one event loop turn of a slow machine.
inline constexpr std::chrono::milliseconds kRelayTimeout{300};
/// Followers that lose their relay read the store at random moments within this
/// time.
inline constexpr std::chrono::milliseconds kRelayFallbackSpread{300};
/// A source that failed is not used for this long. The time doubles with each
/// consecutive failure, and half of it is random.
inline constexpr std::chrono::milliseconds kMinSourceBackoff{1000};
inline constexpr std::chrono::milliseconds kMaxSourceBackoff{16000};
/// Upper bound on the back-off from the store. A follower retries it sooner
/// because it is the last source left.
inline constexpr std::chrono::milliseconds kMaxStoreSourceBackoff{4000};
/// Waits at the store begin when the list of gateways is known, or after this
/// time if it is not.
inline constexpr std::chrono::milliseconds kRelayDecisionTime{2500};
/// Deleted rows that a relay remembers for each table.
inline constexpr size_t kMaxRelayTombstones = 4096;
/// Size of the rows in one answer; well below kMaxPeerBodyBytes.
inline constexpr size_t kMaxRelayAnswerBytes = 512 * 1024;
/// Open waits of followers that a relay accepts for each table.
inline constexpr size_t kMaxRelayWaiters = 1024;
/// After a restore of the store: how many gateways are asked for a newer
/// configuration in one round, and the interval and number of the rounds. The
/// rounds give a gateway that was asked the time to read a list with the one
/// that asks.
inline constexpr size_t kConfigCatchUpMembers = 3;
inline constexpr std::chrono::milliseconds kConfigCatchUpInterval{1000};
inline constexpr int kConfigCatchUpRounds = 4;
/// A gateway that starts asks at this interval and waits this long at most.
inline constexpr std::chrono::milliseconds kBlockedCatchUpInterval{200};
inline constexpr std::chrono::milliseconds kMaxConfigCatchUpWait{500};
/// Shortest time between two reads of the list of gateways that are caused by
/// an unknown sender.
inline constexpr std::chrono::seconds kUnknownSenderReadInterval{5};
/// Pause of a follower after a change. It is short because the relay has
/// already combined consecutive changes into one call.
inline constexpr std::chrono::milliseconds kFollowerReadPause{20};

// Gateway: rollouts.
/// Share of a service's requests that a version gets while it is probed, unless
/// the settings give other bounds.
inline constexpr double kRolloutProbeShare = 0.06;
/// Requests of each route that all gateways together may send to the probed
/// version immediately, beyond its share, so that a rollout of a few seconds
/// has samples.
inline constexpr double kRolloutProbeExtra = 10;
/// Gateways exchange their measurements at this interval. It is longer when
/// many gateways read the store.
inline constexpr std::chrono::milliseconds kMinRolloutPollInterval{1000};
inline constexpr std::chrono::milliseconds kRolloutPollIntervalPerReader{20};
inline constexpr std::chrono::microseconds kRolloutPollJitter{100000};
/// A rollout is completed at least this long before its deadline: the driver
/// decides at its next exchange, then reads and writes the operator's status.
inline constexpr std::chrono::milliseconds kRolloutDeadlineMargin{2500};
/// A driver whose row is unchanged for this many reads is considered lost.
inline constexpr int kMaxUnchangedRolloutReads = 3;
/// Reads of the rows of rollouts after a restore of the store, before a phase
/// that was read from them may advance: gateways that know more write it first.
inline constexpr int kRolloutReadsAfterRestore = 2;
/// Time for which a rollout is kept whose order is missing in a restored store.
/// Operators repeat lost orders within seconds.
inline constexpr std::chrono::seconds kRolloutRepeatTime{30};
/// Earlier orders of a service that are remembered.
inline constexpr size_t kMaxFormerRolloutOrders = 8;

// Gateway: peers.
/// Each heartbeat costs one write and one read of the store. The interval grows
/// with the number of gateways, so that all of them together make at most five
/// calls per second.
inline constexpr std::chrono::milliseconds kMinPeerHeartbeatInterval{10000};
inline constexpr std::chrono::milliseconds kPeerHeartbeatIntervalPerPeer{400};
inline constexpr std::chrono::microseconds kPeerHeartbeatJitter{2000000};
/// After a restore of the store each gateway writes its row again at a random
/// moment within this time, long before its next heartbeat when there are many:
/// 76 writes a second for 304 of them, a fifth of the 400 that the store takes.
inline constexpr std::chrono::milliseconds kPeerRestoreSpread{4000};
inline constexpr std::chrono::milliseconds kFirstPeerReadDelay{1500};
/// Number of gateways that is assumed until their list is known.
inline constexpr size_t kAssumedPeerCount = 100;

}  // namespace bramleybank

#endif  // BRAMLEYBANK_LIMITS_H_
