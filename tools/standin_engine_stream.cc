// One stream of the engine stand-in.
#include "standin_engine_stream.h"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>
#include <utility>

#include "answer_chain.h"
#include "bramleybank/limits.h"
#include "http_responder.h"
#include "json_parse.h"

namespace bramleybank::standin {

EngineStream::EngineStream(EngineStreamSpec spec, Hooks hooks)
    : m_spec(std::move(spec)),
      m_hooks(std::move(hooks)),
      m_version_json(nlohmann::json(m_spec.version).dump()),
      m_chain(m_spec.initial_chain) {
  assert(m_hooks.now && m_hooks.on_readers_gone && m_hooks.exit_process);
}

bool EngineStream::AddResumeToken(const std::string& text) {
  const auto parts = ParseToken(text);
  if (!parts || parts->chain != m_chain) {
    return false;
  }
  m_texts.push_back(text);
  m_chain = NextChainHash(m_chain, text, m_texts.size());
  return true;
}

void EngineStream::Attach(std::shared_ptr<HttpResponder> responder,
                          uint32_t attempt,
                          uint64_t after,
                          bool keep_old_readers) {
  if (!keep_old_readers) {
    Disconnect();
  }
  m_spec.attempt = attempt;
  auto reader = std::make_unique<Reader>();
  reader->id = m_next_reader_id++;
  reader->responder = std::move(responder);
  reader->attempt = attempt;
  reader->position = after;
  const std::weak_ptr<EngineStream> weak = weak_from_this();
  const uint64_t id = reader->id;
  reader->responder->StartStream(200, {{"Content-Type", "text/event-stream"}});
  reader->responder->SetDrainHandler([weak, id] {
    if (const auto self = weak.lock()) {
      self->OnDrained(id);
    }
  });
  reader->responder->SetCloseHandler([weak, id](bool) {
    if (const auto self = weak.lock()) {
      self->OnClosed(id);
    }
  });
  m_readers.push_back(std::move(reader));
  WritePendingTokens();
}

void EngineStream::Generate() {
  assert(!is_complete());
  const bool wrong =
      m_spec.wrong_after > 0 && m_texts.size() >= m_spec.wrong_after;
  m_texts.push_back(FormatToken(m_spec.nonce, wrong ? ~m_chain : m_chain));
  m_chain = NextChainHash(m_chain, m_texts.back(), m_texts.size());
  WritePendingTokens();
}

void EngineStream::WritePendingTokens() {
  for (const auto& reader : m_readers) {
    WritePendingTokensTo(reader.get());
  }
}

void EngineStream::WritePendingTokensTo(Reader* reader) {
  while (reader->position < m_texts.size()) {
    if (reader->on_drained ||
        reader->responder->buffered_bytes() > kMaxBufferedOutputBytes) {
      return;
    }
    WriteToken(reader, ++reader->position);
  }
  if (is_complete() && !reader->finished && !reader->on_drained) {
    WriteFinalChunk(reader);
  }
}

std::string EngineStream::FormatChunk(const Reader& reader,
                                      uint64_t index) const {
  std::string chunk;
  chunk.reserve(128);
  chunk.append(R"({"request":")")
      .append(m_spec.generation)
      .append(R"(","attempt":)")
      .append(std::to_string(reader.attempt))
      .append(R"(,"index":)")
      .append(std::to_string(index))
      .append(R"(,"text":")")
      .append(m_texts[index - 1])
      .append(R"(","version":)")
      .append(m_version_json)
      .append("}");
  return chunk;
}

void EngineStream::WriteToken(Reader* reader, uint64_t index) {
  const std::string chunk = FormatChunk(*reader, index);
  if (m_spec.fault.kind != StreamFaultKind::kNone &&
      m_spec.fault.token == index) {
    ApplyFault(reader, chunk);
    return;
  }
  reader->responder->Write("data: " + chunk + "\n\n");
}

void EngineStream::ApplyFault(Reader* reader, const std::string& chunk) {
  const StreamFault fault = std::exchange(m_spec.fault, {});
  const std::string event = "data: " + chunk + "\n\n";
  const std::shared_ptr<HttpResponder> responder = reader->responder;
  switch (fault.kind) {
    case StreamFaultKind::kNone:
    case StreamFaultKind::kSkip:
      return;
    case StreamFaultKind::kExit:
      responder->Write(event);
      reader->on_drained = m_hooks.exit_process;
      return;
    case StreamFaultKind::kClose:
      responder->Write(event);
      reader->on_drained = [responder] { responder->Abort(); };
      return;
    case StreamFaultKind::kFreeze:
      responder->Write(event);
      m_frozen_until = m_hooks.now() + fault.freeze_duration;
      return;
    case StreamFaultKind::kDuplicate:
      responder->Write(event + event);
      return;
    case StreamFaultKind::kTruncate:
      responder->Write("data: " + chunk.substr(0, chunk.size() / 2) + "\n\n");
      return;
    case StreamFaultKind::kForeign: {
      auto foreign = ParseJson(chunk);
      foreign["request"] = "00000000deadbeef";
      foreign["text"] = FormatToken(0xdead, 0xdeadbeef);
      responder->Write("data: " + foreign.dump() + "\n\n" + event);
      return;
    }
  }
}

void EngineStream::WriteFinalChunk(Reader* reader) {
  reader->finished = true;
  std::string chunk(R"(data: {"request":")");
  chunk.append(m_spec.generation)
      .append(R"(","attempt":)")
      .append(std::to_string(reader->attempt))
      .append(R"(,"finish":"stop","count":)")
      .append(std::to_string(m_texts.size()))
      .append("}\n\ndata: [DONE]\n\n");
  reader->responder->Write(chunk);
  reader->responder->Finish();
}

void EngineStream::Disconnect() {
  // The list is emptied first, so that the close handlers of these readers find
  // nothing to remove and on_readers_gone is not called.
  const auto readers = std::exchange(m_readers, {});
  for (const auto& reader : readers) {
    reader->responder->Abort();
  }
}

bool EngineStream::is_frozen() const {
  return m_hooks.now() < m_frozen_until;
}

EngineStream::Reader* EngineStream::FindReader(uint64_t reader_id) {
  const auto it = std::ranges::find_if(
      m_readers, [&](const auto& reader) { return reader->id == reader_id; });
  return it == m_readers.end() ? nullptr : it->get();
}

void EngineStream::OnDrained(uint64_t reader_id) {
  Reader* reader = FindReader(reader_id);
  if (reader == nullptr) {
    return;
  }
  if (reader->on_drained) {
    reader->on_drained();
    return;
  }
  WritePendingTokensTo(reader);
}

void EngineStream::OnClosed(uint64_t reader_id) {
  const auto removed = std::erase_if(
      m_readers, [&](const auto& reader) { return reader->id == reader_id; });
  if (removed > 0 && m_readers.empty()) {
    m_hooks.on_readers_gone();
  }
}

}  // namespace bramleybank::standin
