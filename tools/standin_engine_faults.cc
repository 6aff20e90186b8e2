// Faults injected into the engine stand-in.
#include "standin_engine_faults.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace bramleybank::standin {
namespace {

using nlohmann::json;

/// @returns the index of the string `control[key]` in `names`, or -1.
template <size_t kCount>
int FindNameIndex(const json& control,
                  const char* key,
                  const std::array<std::string_view, kCount>& names) {
  if (!control[key].is_string()) {
    return -1;
  }
  const auto it = std::ranges::find(names, control[key].get<std::string>());
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

}  // namespace

bool EngineFaults::Apply(const json& control,
                         TimePoint now,
                         std::string* error) {
  if (!control.is_object()) {
    *error = "expected a JSON object";
    return false;
  }
  try {
    if (control.value("clear", false)) {
      *this = EngineFaults();
    }
    m_keep_old_readers = control.value("keep_old_readers", m_keep_old_readers);
    m_is_leaving = control.value("leaving", m_is_leaving);
    if (control.contains("stream_fault") && !AddStreamFault(control)) {
      *error = "unknown stream_fault";
      return false;
    }
    if (control.contains("version_fault") && !AddVersionFault(control, now)) {
      *error = "unknown version_fault";
      return false;
    }
  } catch (const json::exception& exception) {
    *error = exception.what();
    return false;
  }
  return true;
}

bool EngineFaults::AddStreamFault(const json& control) {
  static constexpr std::array<std::string_view, 8> kNames = {
      "none",      "exit", "close",    "freeze",
      "duplicate", "skip", "truncate", "foreign"};
  const int kind = FindNameIndex(control, "stream_fault", kNames);
  if (kind < 0) {
    return false;
  }
  PendingStreamFault pending;
  pending.fault.kind = static_cast<StreamFaultKind>(kind);
  pending.fault.token = control.value("token", uint64_t{1});
  pending.fault.freeze_duration =
      std::chrono::milliseconds(control.value("ms", int64_t{1000}));
  pending.count = control.value("count", int64_t{1});
  pending.generation = control.value("generation", "");
  m_stream_faults.push_back(pending);
  return true;
}

bool EngineFaults::AddVersionFault(const json& control, TimePoint now) {
  static constexpr std::array<std::string_view, 3> kNames = {"fail", "slow",
                                                             "wrong_tokens"};
  const int kind = FindNameIndex(control, "version_fault", kNames);
  if (kind < 0) {
    return false;
  }
  VersionFault fault;
  fault.kind = static_cast<VersionFaultKind>(kind);
  fault.version = control.value("version", "");
  fault.after_requests = control.value("after_requests", int64_t{0});
  fault.start_time =
      now +
      Duration(static_cast<int64_t>(control.value("after_s", 0.0) * 1000000));
  fault.above_load = control.value("above_load", int64_t{-1});
  fault.route = control.value("route", "");
  fault.factor = std::max(1.0, control.value("factor", 10.0));
  fault.token = std::max(uint64_t{1}, control.value("token", uint64_t{32}));
  m_version_faults.push_back(fault);
  return true;
}

StreamFault EngineFaults::TakeStreamFault(std::string_view generation) {
  const auto it = std::ranges::find_if(
      m_stream_faults, [&](const PendingStreamFault& pending) {
        return pending.generation.empty() || pending.generation == generation;
      });
  if (it == m_stream_faults.end()) {
    return {};
  }
  const StreamFault fault = it->fault;
  if (--it->count <= 0) {
    m_stream_faults.erase(it);
  }
  return fault;
}

RequestEffect EngineFaults::OnRequest(std::string_view version,
                                      std::string_view prompt,
                                      int64_t load,
                                      TimePoint now) {
  RequestEffect effect;
  for (VersionFault& fault : m_version_faults) {
    if ((!fault.version.empty() && fault.version != version) ||
        (!fault.route.empty() &&
         prompt.find(fault.route) == std::string_view::npos)) {
      continue;
    }
    if (++fault.requests_seen <= fault.after_requests ||
        now < fault.start_time || load <= fault.above_load) {
      continue;
    }
    switch (fault.kind) {
      case VersionFaultKind::kFail:
        effect.fail = true;
        break;
      case VersionFaultKind::kSlow:
        effect.slowdown = std::max(effect.slowdown, fault.factor);
        break;
      case VersionFaultKind::kWrongTokens:
        effect.wrong_after = fault.token;
        break;
    }
  }
  return effect;
}

}  // namespace bramleybank::standin
