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

}  // namespace bramleybank

#endif  // BRAMLEYBANK_LIMITS_H_
