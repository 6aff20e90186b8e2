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
/// Memory pool of one caller connection. The library's default of 32 KiB
/// would take half of the 60 KB that an open stream may use.
inline constexpr size_t kConnectionPoolBytes = 12 * 1024;
inline constexpr unsigned kMaxCallerConnections = 8192;
/// A caller that sends nothing for this long in the middle of a request is
/// disconnected, so that slow senders cannot hold connections for ever.
inline constexpr std::chrono::seconds kCallerIdleTimeout{20};
/// Interval at which connections without output are checked for a caller that
/// has closed.
inline constexpr std::chrono::milliseconds kCallerCloseCheckInterval{500};

// Streams.
/// Output buffered for one slow caller before the engine transfer is paused.
inline constexpr size_t kMaxBufferedOutputBytes = 256 * 1024;
inline constexpr int kMaxStreamAttempts = 8;
/// The upper bound leaves 1.5 s of the 3 s resume target for the new attempt.
inline constexpr std::chrono::milliseconds kMinStallTimeout{250};
inline constexpr std::chrono::milliseconds kMaxStallTimeout{1500};
/// A token waits at most this long for the acknowledgement of its copy.
inline constexpr std::chrono::milliseconds kCopyAckTimeout{50};
/// A copy without news from its owner is dropped after this time.
inline constexpr std::chrono::seconds kCopyIdleLifetime{30};
/// A caller that lost its connection has this long to come back before the
/// engine's stream is cancelled.
inline constexpr std::chrono::seconds kCallerReturnWindow{5};

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

// Transfers to endpoints and the platform.
inline constexpr std::chrono::milliseconds kConnectTimeout{800};
inline constexpr std::chrono::milliseconds kPlatformTimeout{1000};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_LIMITS_H_
