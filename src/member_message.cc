// Encoding and decoding of membership datagrams.
#include "member_message.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <stdexcept>
#include <system_error>

#include "bramleybank/limits.h"

namespace bramleybank {
namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;

constexpr uint32_t kHeaderFields = 10;
constexpr size_t kMaxItems = 1024;
constexpr size_t kMaxDepth = 8;
// Size of the two list headers: at most 3 bytes each.
constexpr size_t kListHeaderBytes = 6;

void PackMember(Packer* packer, const MemberInfo& info, int64_t age_s) {
  packer->pack_array(8);
  packer->pack(info.peer);
  packer->pack(info.start_number);
  packer->pack(info.region);
  packer->pack(info.failure_domain);
  packer->pack(static_cast<uint8_t>(info.state));
  packer->pack(info.incarnation);
  packer->pack(info.config_number);
  packer->pack(age_s);
}

int64_t ToSeconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::seconds>(duration).count();
}

/// Reads the elements of an array in order. Values of missing elements keep
/// their defaults, so that fields can be added at the end of an array.
class ArrayReader {
 public:
  explicit ArrayReader(const msgpack::object& object) : m_object(object) {
    if (object.type != msgpack::type::ARRAY) {
      throw std::invalid_argument("expected an array");
    }
  }

  template <typename T>
  ArrayReader& Read(T* value) {
    if (const msgpack::object* element = Next()) {
      element->convert(*value);
    }
    return *this;
  }

  const msgpack::object* Next() {
    return m_index < m_object.via.array.size
               ? &m_object.via.array.ptr[m_index++]
               : nullptr;
  }

 private:
  const msgpack::object& m_object;
  uint32_t m_index = 0;
};

Duration ReadAge(ArrayReader* reader) {
  int64_t seconds = 0;
  reader->Read(&seconds);
  return std::chrono::seconds(std::clamp<int64_t>(seconds, 0, 1 << 30));
}

/// @returns false for a state that this release does not know.
bool ReadMember(const msgpack::object& object, MemberUpdate* update) {
  uint32_t state = 0;
  MemberInfo& info = update->info;
  ArrayReader reader(object);
  reader.Read(&info.peer)
      .Read(&info.start_number)
      .Read(&info.region)
      .Read(&info.failure_domain)
      .Read(&state)
      .Read(&info.incarnation)
      .Read(&info.config_number);
  update->age = ReadAge(&reader);
  if (!IsPeerAddress(info.peer) || info.region.size() > kMaxRegionNameBytes ||
      info.failure_domain.size() > kMaxRegionNameBytes) {
    throw std::invalid_argument("member with an invalid or oversized field");
  }
  info.state = static_cast<MemberState>(state);
  return state <= static_cast<uint32_t>(MemberState::kLeft);
}

bool ReadNotice(const msgpack::object& object, NoticeUpdate* update) {
  uint32_t kind = 0;
  Notice& notice = update->notice;
  ArrayReader reader(object);
  reader.Read(&kind)
      .Read(&notice.key)
      .Read(&notice.version)
      .Read(&notice.active);
  update->age = ReadAge(&reader);
  if (notice.key.empty() || notice.key.size() > kMaxNoticeKeyBytes) {
    throw std::invalid_argument("notice with an empty or oversized field");
  }
  notice.kind = static_cast<NoticeKind>(kind);
  return kind <= static_cast<uint32_t>(NoticeKind::kVersionStopped);
}

template <typename Update, typename ReadItem>
void ReadList(const msgpack::object* object,
              ReadItem read_item,
              std::vector<Update>* list) {
  if (object == nullptr) {
    return;
  }
  ArrayReader reader(*object);
  while (const msgpack::object* element = reader.Next()) {
    Update update;
    if (read_item(*element, &update)) {
      list->push_back(std::move(update));
    }
  }
}

void ReadConfirmations(const msgpack::object* object,
                       ConfirmationUpdate* update) {
  if (object == nullptr || object->is_nil()) {
    return;
  }
  ArrayReader(*object)
      .Read(&update->number)
      .Read(&update->live_hash)
      .Read(&update->bits);
}

MemberDecodeResult ReadMessage(const msgpack::object& object,
                               MemberMessage* message) {
  MemberHeader& header = message->header;
  ArrayReader reader(object);
  reader.Read(&header.format_version).Read(&header.lowest_reader);
  if (header.lowest_reader > kMemberFormatVersion) {
    return MemberDecodeResult::kTooNew;
  }
  uint32_t kind = 0;
  reader.Read(&header.cluster)
      .Read(&kind)
      .Read(&header.sequence)
      .Read(&header.target);
  header.kind = kind <= static_cast<uint32_t>(MemberMessageKind::kJoin)
                    ? static_cast<MemberMessageKind>(kind)
                    : MemberMessageKind::kGossip;
  const msgpack::object* from = reader.Next();
  MemberUpdate sender;
  if (from == nullptr || !ReadMember(*from, &sender) ||
      (!header.target.empty() && !IsPeerAddress(header.target))) {
    return MemberDecodeResult::kMalformed;
  }
  header.from = std::move(sender.info);
  ReadList(reader.Next(), ReadMember, &message->members);
  ReadList(reader.Next(), ReadNotice, &message->notices);
  ReadConfirmations(reader.Next(), &message->confirmations);
  return MemberDecodeResult::kOk;
}

}  // namespace

MemberMessageWriter::MemberMessageWriter(
    const MemberHeader& header,
    const ConfirmationUpdate& confirmations,
    size_t max_bytes)
    : m_max_bytes(max_bytes), m_head(256), m_members(1024), m_notices(64) {
  Packer head(m_head);
  head.pack_array(kHeaderFields);
  head.pack(header.format_version);
  head.pack(header.lowest_reader);
  head.pack(header.cluster);
  head.pack(static_cast<uint8_t>(header.kind));
  head.pack(header.sequence);
  head.pack(header.target);
  PackMember(&head, header.from, 0);
  Packer tail(m_tail);
  if (confirmations.number == 0) {
    tail.pack_nil();
  } else {
    tail.pack_array(3);
    tail.pack(confirmations.number);
    tail.pack(confirmations.live_hash);
    tail.pack(confirmations.bits);
  }
  m_bytes = m_head.size() + m_tail.size() + kListHeaderBytes;
}

bool MemberMessageWriter::Add(const MemberUpdate& update) {
  msgpack::sbuffer item(128);
  Packer packer(item);
  PackMember(&packer, update.info, ToSeconds(update.age));
  if (!Append(item, &m_members)) {
    return false;
  }
  ++m_member_count;
  return true;
}

bool MemberMessageWriter::Add(const NoticeUpdate& update) {
  msgpack::sbuffer item(128);
  Packer packer(item);
  packer.pack_array(5);
  packer.pack(static_cast<uint8_t>(update.notice.kind));
  packer.pack(update.notice.key);
  packer.pack(update.notice.version);
  packer.pack(update.notice.active);
  packer.pack(ToSeconds(update.age));
  if (!Append(item, &m_notices)) {
    return false;
  }
  ++m_notice_count;
  return true;
}

bool MemberMessageWriter::Append(const msgpack::sbuffer& item,
                                 msgpack::sbuffer* list) {
  if (m_bytes + item.size() > m_max_bytes) {
    return false;
  }
  m_bytes += item.size();
  list->write(item.data(), item.size());
  return true;
}

std::string MemberMessageWriter::Finish() const {
  msgpack::sbuffer out(m_bytes);
  Packer packer(out);
  out.write(m_head.data(), m_head.size());
  packer.pack_array(m_member_count);
  out.write(m_members.data(), m_members.size());
  packer.pack_array(m_notice_count);
  out.write(m_notices.data(), m_notices.size());
  out.write(m_tail.data(), m_tail.size());
  return {out.data(), out.size()};
}

MemberDecodeResult DecodeMemberMessage(std::string_view bytes,
                                       MemberMessage* message) {
  if (bytes.size() > kMaxMemberDatagramBytes) {
    return MemberDecodeResult::kMalformed;
  }
  // msgpack-cxx reports malformed input only through exceptions.
  try {
    const msgpack::unpack_limit limit(
        kMaxItems, kMaxItems, kMaxMemberDatagramBytes, kMaxMemberDatagramBytes,
        kMaxMemberDatagramBytes, kMaxDepth);
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
    return ReadMessage(handle.get(), message);
  } catch (const std::exception&) {
    return MemberDecodeResult::kMalformed;
  }
}

bool IsPeerAddress(std::string_view peer) {
  const size_t colon = peer.rfind(':');
  if (colon == std::string_view::npos || colon > 15) {
    return false;
  }
  const std::string ip(peer.substr(0, colon));
  const std::string_view port_text = peer.substr(colon + 1);
  uint16_t port = 0;
  const char* end = port_text.data() + port_text.size();
  const auto [rest, error] = std::from_chars(port_text.data(), end, port);
  in_addr address{};
  return error == std::errc() && rest == end && port != 0 &&
         inet_pton(AF_INET, ip.c_str(), &address) == 1;
}

}  // namespace bramleybank
