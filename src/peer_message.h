// Messages between daemons about copies of streams.
//
// Each message is a msgpack array whose first element is the format version.
// Fields have fixed positions and new ones are added at the end. A reader skips
// unknown elements and uses the default for elements that are missing or nil,
// so that two releases can run side by side.
#ifndef BRAMLEYBANK_SRC_PEER_MESSAGE_H_
#define BRAMLEYBANK_SRC_PEER_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bramleybank/result_code.h"
#include "stream_token_list.h"

namespace bramleybank {

/// Raised with every change of a message.
inline constexpr uint32_t kPeerFormatVersion = 1;

// Paths of the requests on the peer port.
inline constexpr char kPathCopyAppend[] = "/copy/append";
inline constexpr char kPathCopyClaim[] = "/copy/claim";
inline constexpr char kPathStreamRelease[] = "/stream/release";

/// Model and engine of a stream. A stream can be resumed only with the same
/// model, version and adapter.
struct CopyIdentity {
  uint32_t request_hash = 0;
  std::string model;
  std::string version;
  std::string adapter;
  /// Address of the engine of the current attempt.
  std::string engine;

  friend bool operator==(const CopyIdentity&, const CopyIdentity&) = default;
};

/// Tokens of one stream, or its end.
struct CopyAppendEntry {
  uint64_t generation = 0;
  uint32_t attempt = 0;
  /// Position of the first token; positions start at 1.
  uint64_t first_position = 1;
  StreamTokenList tokens = {};
  /// The stream has ended after these tokens; its copy is dropped.
  bool ends = false;
  /// Sent with the first entry to a holder and after a change of attempt.
  /// Omitting it from other entries saves about 40 bytes per token.
  std::optional<CopyIdentity> identity = {};

  friend bool operator==(const CopyAppendEntry&,
                         const CopyAppendEntry&) = default;
};

/// Batch from an owner to a holder. It has at most one entry per stream.
struct CopyAppend {
  uint32_t format = kPeerFormatVersion;
  /// Peer address of the owner; empty when missing.
  std::string owner = {};
  std::vector<CopyAppendEntry> entries = {};

  friend bool operator==(const CopyAppend&, const CopyAppend&) = default;
};

enum class CopyAppendStatus : uint8_t {
  kAcked = 0,
  /// The stream was claimed by another daemon.
  kStale = 1,
  /// The holder does not have all earlier positions.
  kNeedWholeCopy = 2,
  /// The holder's memory for copies is exhausted.
  kFull = 3,
};

struct CopyAppendResult {
  CopyAppendStatus status = CopyAppendStatus::kAcked;
  /// Last position up to which the holder has all tokens; set with kAcked.
  uint64_t position = 0;
  /// Attempt that the holder knows; set with kStale.
  uint32_t newer_attempt = 0;

  friend bool operator==(const CopyAppendResult&,
                         const CopyAppendResult&) = default;
};

/// One result for each entry, in the order of the entries.
struct CopyAppendReply {
  uint32_t format = kPeerFormatVersion;
  std::vector<CopyAppendResult> results = {};

  friend bool operator==(const CopyAppendReply&,
                         const CopyAppendReply&) = default;
};

/// Sent by a daemon that resumes a stream to the holder of its copy.
struct CopyClaim {
  uint32_t format = kPeerFormatVersion;
  uint64_t generation = 0;
  uint32_t request_hash = 0;
  /// Attempt in the caller's event id.
  uint32_t minimum_attempt = 0;
  /// Peer address of the sender.
  std::string claimant = {};

  friend bool operator==(const CopyClaim&, const CopyClaim&) = default;
};

enum class CopyClaimStatus : uint8_t {
  /// The holder has no tokens, but still issues an attempt number.
  kNotFound = 0,
  kFound = 1,
  /// The copy belongs to another request; no attempt number is issued.
  kRequestMismatch = 2,
};

struct CopyClaimReply {
  uint32_t format = kPeerFormatVersion;
  CopyClaimStatus status = CopyClaimStatus::kNotFound;
  /// Number for the claimant's next attempt; 0 with kRequestMismatch.
  uint32_t attempt = 0;
  CopyIdentity identity = {};
  StreamTokenList tokens = {};

  friend bool operator==(const CopyClaimReply&,
                         const CopyClaimReply&) = default;
};

/// Sent by a daemon that resumes a stream to its former owner, which then stops
/// without cancelling the engine's stream.
struct StreamRelease {
  uint32_t format = kPeerFormatVersion;
  uint64_t generation = 0;
  uint32_t request_hash = 0;
  /// Lowest attempt that the sender will use.
  uint32_t attempt = 0;
  /// Peer address of the sender.
  std::string claimant = {};

  friend bool operator==(const StreamRelease&, const StreamRelease&) = default;
};

struct StreamReleaseReply {
  uint32_t format = kPeerFormatVersion;
  /// Whether the stream was open at the former owner.
  bool found = false;
  /// Last attempt that the former owner used.
  uint32_t attempt = 0;
  CopyIdentity identity = {};
  StreamTokenList tokens = {};

  friend bool operator==(const StreamReleaseReply&,
                         const StreamReleaseReply&) = default;
};

std::string EncodePeerMessage(const CopyAppend& message);
std::string EncodePeerMessage(const CopyAppendReply& message);
std::string EncodePeerMessage(const CopyClaim& message);
std::string EncodePeerMessage(const CopyClaimReply& message);
std::string EncodePeerMessage(const StreamRelease& message);
std::string EncodePeerMessage(const StreamReleaseReply& message);

/// Decodes bytes from another daemon. Never throws; memory is bounded by
/// kMaxPeerBodyBytes and kMaxPeerMessageItems.
/// @tparam Message one of the message structs above.
/// @param error set to kPeerBadMessage when decoding fails; may be null.
template <typename Message>
std::optional<Message> DecodePeerMessage(std::string_view bytes,
                                         Reason* error = nullptr);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_PEER_MESSAGE_H_
