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

// Non-idempotent calls.
inline constexpr size_t kMaxInlineResultBytes = 64 * 1024;
inline constexpr std::chrono::milliseconds kRecordBeforeAnswerTimeout{250};

// Transfers to endpoints and the platform.
inline constexpr std::chrono::milliseconds kConnectTimeout{800};
inline constexpr std::chrono::milliseconds kPlatformTimeout{1000};

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
inline constexpr std::chrono::seconds kOutlierWindow{10};
inline constexpr std::chrono::seconds kMinEjection{5};
inline constexpr std::chrono::seconds kMaxEjection{300};

// Admission, customers and retries.
inline constexpr std::chrono::milliseconds kDefaultPatience{3000};
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

}  // namespace bramleybank

#endif  // BRAMLEYBANK_LIMITS_H_
