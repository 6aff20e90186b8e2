// Keeps a copy of a running stream's engine memory at a second engine, so that
// the stream goes on there without reading its prompt again.
#ifndef BRAMLEYBANK_SRC_STREAM_BACKUP_H_
#define BRAMLEYBANK_SRC_STREAM_BACKUP_H_

#include <memory>
#include <optional>
#include <string>

#include "endpoint_entry.h"
#include "gateway_attempt.h"
#include "gateway_request.h"
#include "hooks.h"
#include "rollout_rule.h"

namespace bramleybank {

class EndpointDirectory;
class EndpointPicker;
class EventLoop;
struct EndpointRecord;
struct GatewayCodec;

/// Copy of one attempt's memory. The engine itself sends the copy as the run
/// grows when it is named with the request. When the engine that holds it is
/// lost while the run goes on, the memory is copied to another one by order;
/// such a copy is renewed until the run ends.
class StreamBackup {
 public:
  StreamBackup(EventLoop* loop,
               const GatewayCodec* codec,
               EndpointDirectory* directory,
               const EndpointPicker* picker,
               std::string request_id);
  ~StreamBackup();
  StreamBackup(const StreamBackup&) = delete;
  StreamBackup& operator=(const StreamBackup&) = delete;

  /// An attempt starts at `primary`: chooses the engine for its copy.
  /// @returns the address to name with the request; empty when there is none.
  /// @param versions that the run may go on with.
  std::string Open(const EndpointRecord& primary,
                   const RolloutRule& versions = {});
  /// The first event of the attempt has arrived: the copy begins.
  void OnFirstEvent();
  /// Replaces a copy that was lost, and renews one made by order. Called at a
  /// regular interval while the attempt runs.
  /// @param versions that the run may go on with.
  void Maintain(const RolloutRule& versions = {});
  /// Gives up the copy.
  void Close();

  /// @returns the engine from whose copy the stream can go on, or null.
  const EndpointRecord* UsableHolder() const;
  /// @returns the id of that engine, or of the one that is to hold the copy.
  std::string holder_id() const { return m_holder ? m_holder->id : ""; }
  /// @returns the name of the copy for the engine that holds it.
  BackupLocation Name() const;

 private:
  void StartCopy();
  void OnCopyEnd(AttemptEnd end);
  void ReleaseHolder();
  void FreeHandle();
  void SendOrder(const std::string& address,
                 std::string message,
                 AttemptCallbacks callbacks);
  void StopOrder();

  EventLoop* m_loop;
  const GatewayCodec* m_codec;
  EndpointDirectory* m_directory;
  const EndpointPicker* m_picker;
  const std::string m_request_id;
  std::optional<EndpointEntry> m_primary;
  // Engine that holds or gets the copy.
  std::optional<EndpointEntry> m_holder;
  std::optional<TimePoint> m_first_event;
  // Set once a copy by order is complete.
  std::optional<CopyAnswer> m_copy;
  std::unique_ptr<GatewayAttempt> m_order;
  TimePoint m_order_start;
  int m_answer_status = 0;
  std::string m_answer_body;
  int m_orders = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STREAM_BACKUP_H_
