// Sends copy requests to the primary engine and handles the answers.
#include "stream_backup.h"

#include <utility>

#include "bramleybank/limits.h"
#include "endpoint_directory.h"
#include "endpoint_picker.h"
#include "engine_call.h"
#include "engine_loads.h"
#include "event_loop.h"
#include "gateway_codec.h"
#include "log_event.h"

namespace bramleybank {
namespace {

constexpr int kStatusOk = 200;

}  // namespace

StreamBackup::StreamBackup(const Context& context,
                           std::string request_id,
                           const std::optional<PlacementRequest>& placement)
    : m_context(context),
      m_request_id(std::move(request_id)),
      m_placement(placement) {}

StreamBackup::~StreamBackup() {
  Close();
}

std::string StreamBackup::Open(const EndpointRecord& primary,
                               const RolloutRule& versions) {
  m_primary = primary.entry;
  const EndpointRecord* holder = PickHolder(primary, versions);
  if (holder == nullptr) {
    return "";
  }
  SetHolder(*holder);
  return m_holder->address;
}

const EndpointRecord* StreamBackup::PickHolder(
    const EndpointRecord& primary,
    const RolloutRule& versions) const {
  return m_context.picker->PickForBackup(primary, versions,
                                         m_placement ? &*m_placement : nullptr);
}

void StreamBackup::SetHolder(const EndpointRecord& holder) {
  m_holder = holder.entry;
  m_context.directory->OnBackupOpened(m_holder->id);
  if (m_context.loads != nullptr && m_placement) {
    m_load_entry = m_context.loads->OnCopyOpened(*m_holder, m_placement->size);
  }
}

void StreamBackup::OnFirstEvent() {
  if (!m_first_event) {
    m_first_event = m_context.loop->Now();
  }
}

const EndpointRecord* StreamBackup::UsableHolder() const {
  const bool is_requested = m_requested_copy.has_value();
  const bool is_sent_by_engine =
      m_copy_requests_sent == 0 && m_first_event &&
      m_context.loop->Now() - *m_first_event >= kMinBackupAge;
  if (!m_holder || (!is_requested && !is_sent_by_engine)) {
    return nullptr;
  }
  const EndpointRecord* record = m_context.directory->Find(m_holder->id);
  if (record == nullptr || !m_context.directory->IsUsable(*record) ||
      m_context.directory->IsSuspect(*record) ||
      record->entry.address != m_holder->address) {
    return nullptr;
  }
  return record;
}

BackupLocation StreamBackup::Name() const {
  if (m_requested_copy) {
    return {.address = m_primary->address, .handle = m_requested_copy->handle};
  }
  return {.address = m_holder->address, .handle = m_request_id};
}

void StreamBackup::Maintain(const RolloutRule& versions) {
  if (!m_first_event || m_copy_request ||
      m_copy_requests_sent >= kMaxCopyRequests ||
      m_context.loop->Now() - m_copy_request_sent_at < kCopyRequestInterval) {
    return;
  }
  const EndpointRecord* primary = m_context.directory->Find(m_primary->id);
  if (primary == nullptr || m_context.directory->IsSuspect(*primary) ||
      m_context.directory->IsRestricted(*primary)) {
    return;
  }
  const EndpointRecord* holder =
      m_holder ? m_context.directory->Find(m_holder->id) : nullptr;
  const bool is_holder_lost = holder == nullptr ||
                              !m_context.directory->IsInService(*holder) ||
                              m_context.directory->IsSuspect(*holder);
  if (!is_holder_lost && !m_requested_copy) {
    return;
  }
  if (is_holder_lost) {
    ReleaseHolder();
    m_requested_copy.reset();
    holder = PickHolder(*primary, versions);
    if (holder == nullptr) {
      return;
    }
    SetHolder(*holder);
  }
  StartCopy();
}

void StreamBackup::StartCopy() {
  ++m_copy_requests_sent;
  m_copy_request_sent_at = m_context.loop->Now();
  m_copy_request = std::make_unique<EngineCall>(
      m_context.loop, m_primary->address,
      m_context.codec->encode_copy_request(m_request_id, m_holder->address),
      kEngineReplyTimeout,
      [this](const EngineReply& reply) { OnCopyReply(reply); });
}

void StreamBackup::OnCopyReply(const EngineReply& reply) {
  m_copy_request.reset();
  if (reply.is_complete() && reply.status == kStatusOk) {
    m_requested_copy = m_context.codec->decode_copy_answer(reply.body);
  }
  LogLine(LogEventId::kBackupReplaced)
      .Field("id", m_request_id)
      .Field("engine", m_primary->id)
      .Field("holder", m_holder->id)
      .Field("copied", m_requested_copy ? 1 : 0)
      .Field("events", m_requested_copy ? m_requested_copy->events : 0);
}

void StreamBackup::ReleaseHolder() {
  if (m_holder) {
    m_context.directory->OnBackupClosed(m_holder->id);
    if (m_context.loads != nullptr) {
      m_context.loads->OnEnded(std::exchange(m_load_entry, 0));
    }
    m_holder.reset();
  }
}

void StreamBackup::ReleaseHandle() {
  if (!m_requested_copy) {
    return;
  }
  const EndpointRecord* primary = m_context.directory->Find(m_primary->id);
  if (primary != nullptr && m_context.directory->IsRestricted(*primary)) {
    // Engines release copies by themselves after a while.
    m_requested_copy.reset();
    return;
  }
  // The call lives until its reply, which is ignored.
  auto call = std::make_shared<std::unique_ptr<EngineCall>>();
  *call = std::make_unique<EngineCall>(
      m_context.loop, m_primary->address,
      m_context.codec->encode_copy_release(m_requested_copy->handle),
      kCopyReleaseTime, [call](const EngineReply&) { call->reset(); });
  m_requested_copy.reset();
}

void StreamBackup::Abandon() {
  m_requested_copy.reset();
  Close();
}

void StreamBackup::Close() {
  m_copy_request.reset();
  ReleaseHandle();
  ReleaseHolder();
  m_first_event.reset();
  m_copy_requests_sent = 0;
  m_copy_request_sent_at = TimePoint();
}

}  // namespace bramleybank
