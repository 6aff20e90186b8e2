// Sends copy requests to the primary engine and handles the answers.
#include "stream_backup.h"

#include <utility>

#include "bramleybank/limits.h"
#include "endpoint_directory.h"
#include "endpoint_picker.h"
#include "engine_call.h"
#include "event_loop.h"
#include "gateway_codec.h"
#include "log_event.h"

namespace bramleybank {
namespace {

constexpr int kStatusOk = 200;

}  // namespace

StreamBackup::StreamBackup(EventLoop* loop,
                           const GatewayCodec* codec,
                           EndpointDirectory* directory,
                           const EndpointPicker* picker,
                           std::string request_id)
    : m_loop(loop),
      m_codec(codec),
      m_directory(directory),
      m_picker(picker),
      m_request_id(std::move(request_id)) {}

StreamBackup::~StreamBackup() {
  Close();
}

std::string StreamBackup::Open(const EndpointRecord& primary,
                               const RolloutRule& versions) {
  m_primary = primary.entry;
  const EndpointRecord* holder = m_picker->PickForBackup(primary, versions);
  if (holder == nullptr) {
    return "";
  }
  m_holder = holder->entry;
  m_directory->OnBackupOpened(m_holder->id);
  return m_holder->address;
}

void StreamBackup::OnFirstEvent() {
  if (!m_first_event) {
    m_first_event = m_loop->Now();
  }
}

const EndpointRecord* StreamBackup::UsableHolder() const {
  const bool is_requested = m_requested_copy.has_value();
  const bool is_sent_by_engine =
      m_copy_requests_sent == 0 && m_first_event &&
      m_loop->Now() - *m_first_event >= kMinBackupAge;
  if (!m_holder || (!is_requested && !is_sent_by_engine)) {
    return nullptr;
  }
  const EndpointRecord* record = m_directory->Find(m_holder->id);
  if (record == nullptr || !m_directory->IsUsable(*record) ||
      m_directory->IsSuspect(*record) ||
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
      m_loop->Now() - m_copy_request_sent_at < kCopyRequestInterval) {
    return;
  }
  const EndpointRecord* primary = m_directory->Find(m_primary->id);
  if (primary == nullptr || m_directory->IsSuspect(*primary) ||
      m_directory->IsRestricted(*primary)) {
    return;
  }
  const EndpointRecord* holder =
      m_holder ? m_directory->Find(m_holder->id) : nullptr;
  const bool is_holder_lost = holder == nullptr ||
                              !m_directory->IsInService(*holder) ||
                              m_directory->IsSuspect(*holder);
  if (!is_holder_lost && !m_requested_copy) {
    return;
  }
  if (is_holder_lost) {
    ReleaseHolder();
    m_requested_copy.reset();
    holder = m_picker->PickForBackup(*primary, versions);
    if (holder == nullptr) {
      return;
    }
    m_holder = holder->entry;
    m_directory->OnBackupOpened(m_holder->id);
  }
  StartCopy();
}

void StreamBackup::StartCopy() {
  ++m_copy_requests_sent;
  m_copy_request_sent_at = m_loop->Now();
  m_copy_request = std::make_unique<EngineCall>(
      m_loop, m_primary->address,
      m_codec->encode_copy_request(m_request_id, m_holder->address),
      kEngineReplyTimeout,
      [this](const EngineReply& reply) { OnCopyReply(reply); });
}

void StreamBackup::OnCopyReply(const EngineReply& reply) {
  m_copy_request.reset();
  if (reply.is_complete() && reply.status == kStatusOk) {
    m_requested_copy = m_codec->decode_copy_answer(reply.body);
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
    m_directory->OnBackupClosed(m_holder->id);
    m_holder.reset();
  }
}

void StreamBackup::ReleaseHandle() {
  if (!m_requested_copy) {
    return;
  }
  const EndpointRecord* primary = m_directory->Find(m_primary->id);
  if (primary != nullptr && m_directory->IsRestricted(*primary)) {
    // Engines release copies by themselves after a while.
    m_requested_copy.reset();
    return;
  }
  // The call lives until its reply, which is ignored.
  auto call = std::make_shared<std::unique_ptr<EngineCall>>();
  *call = std::make_unique<EngineCall>(
      m_loop, m_primary->address,
      m_codec->encode_copy_release(m_requested_copy->handle), kCopyReleaseTime,
      [call](const EngineReply&) { call->reset(); });
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
