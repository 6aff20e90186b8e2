// Keeps a copy of a running stream's engine memory (KV cache) at a second
// engine, so that the stream can be resumed there without another prefill.
#ifndef BRAMLEYBANK_SRC_STREAM_BACKUP_H_
#define BRAMLEYBANK_SRC_STREAM_BACKUP_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "endpoint_entry.h"
#include "gateway_request.h"
#include "hooks.h"
#include "placement_estimate.h"
#include "rollout_rule.h"

namespace bramleybank {

class EndpointDirectory;
class EndpointPicker;
class EngineCall;
class EngineLoads;
class EventLoop;
struct EndpointRecord;
struct EngineReply;
struct GatewayCodec;

/// Copy of the engine memory of one attempt. If the request names the engine
/// that is to hold the copy, the primary engine sends the copy to it by itself
/// and updates it as the run grows. If the holder is lost during the run, the
/// gateway asks the primary to copy the memory to another engine (a copy
/// request). A requested copy is renewed until the run ends.
class StreamBackup {
 public:
  /// What all backups share. Everything pointed to outlives them.
  struct Context {
    EventLoop* loop = nullptr;
    const GatewayCodec* codec = nullptr;
    EndpointDirectory* directory = nullptr;
    const EndpointPicker* picker = nullptr;
    /// Null when gateways do not share the loads of engines.
    EngineLoads* loads = nullptr;
  };

  /// @param placement of the run; empty when its engine is chosen without it.
  StreamBackup(const Context& context,
               std::string request_id,
               const std::optional<PlacementRequest>& placement = {});
  ~StreamBackup();
  StreamBackup(const StreamBackup&) = delete;
  StreamBackup& operator=(const StreamBackup&) = delete;

  /// Chooses the engine that is to hold the copy of an attempt at `primary`.
  /// @returns the address to name in the request; empty if there is no engine.
  /// @param versions on which the run may be resumed.
  std::string Open(const EndpointRecord& primary,
                   const RolloutRule& versions = {});
  /// The first event of the attempt has arrived; the engine now starts to copy.
  void OnFirstEvent();
  /// Replaces a lost copy, and renews a requested one. Must be called at a
  /// regular interval while the attempt runs.
  /// @param versions on which the run may be resumed.
  void Maintain(const RolloutRule& versions = {});
  /// Another attempt resumes from the copy or does without it. The copy must
  /// not be released any more, since its engine may be using it.
  void Abandon();
  /// Releases the copy.
  void Close();

  /// @returns the engine whose copy the stream can be resumed from, or null.
  const EndpointRecord* UsableHolder() const;
  /// @returns the id of the engine that holds or is to hold the copy; empty if
  /// there is none.
  std::string holder_id() const { return m_holder ? m_holder->id : ""; }
  /// @returns the name of the copy, as the engine that holds it knows it.
  BackupLocation Name() const;

 private:
  const EndpointRecord* PickHolder(const EndpointRecord& primary,
                                   const RolloutRule& versions) const;
  void SetHolder(const EndpointRecord& holder);
  void StartCopy();
  void OnCopyReply(const EngineReply& reply);
  void ReleaseHolder();
  void ReleaseHandle();

  const Context m_context;
  const std::string m_request_id;
  const std::optional<PlacementRequest> m_placement;
  std::optional<EndpointEntry> m_primary;
  // Engine that holds or is to hold the copy.
  std::optional<EndpointEntry> m_holder;
  // Entry of the copy in the ledger of loads, or 0.
  uint64_t m_load_entry = 0;
  std::optional<TimePoint> m_first_event;
  // Set while there is a complete requested copy.
  std::optional<CopyAnswer> m_requested_copy;
  // Copy request in flight.
  std::unique_ptr<EngineCall> m_copy_request;
  TimePoint m_copy_request_sent_at;
  // Copy requests sent for the current attempt.
  int m_copy_requests_sent = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STREAM_BACKUP_H_
