// Text form of the stream cursor.
#include "stream_cursor.h"

#include <array>
#include <charconv>
#include <cstdio>

#include "bramleybank/limits.h"

namespace bramleybank {
namespace {

constexpr std::string_view kFormat = "1";
constexpr std::string_view kAbsent = "0";
constexpr size_t kFieldCount = 8;
constexpr size_t kMaxCursorBytes = 256;

using Fields = std::array<std::string_view, kFieldCount>;

std::optional<Fields> Split(std::string_view text) {
  Fields fields;
  for (size_t i = 0; i < kFieldCount; ++i) {
    const size_t end = text.find('-');
    const bool is_last = i + 1 == kFieldCount;
    if (is_last != (end == std::string_view::npos)) {
      return std::nullopt;
    }
    fields[i] = text.substr(0, end);
    if (fields[i].empty()) {
      return std::nullopt;
    }
    text.remove_prefix(is_last ? text.size() : end + 1);
  }
  return fields;
}

template <typename T>
bool ParseNumber(std::string_view text, int base, T* value) {
  const char* end = text.data() + text.size();
  const auto [parse_end, error] =
      std::from_chars(text.data(), end, *value, base);
  return error == std::errc() && parse_end == end;
}

bool IsAddress(std::string_view text) {
  return text.find(':') != std::string_view::npos &&
         text.find_first_not_of("0123456789.:") == std::string_view::npos;
}

}  // namespace

std::string FormatGeneration(uint64_t generation) {
  std::array<char, 17> digits{};
  std::snprintf(digits.data(), digits.size(), "%016llx",
                static_cast<unsigned long long>(generation));
  return digits.data();
}

std::string FormatStreamCursor(const StreamCursor& cursor) {
  std::array<char, 16> hash{};
  std::snprintf(hash.data(), hash.size(), "-%08x-", cursor.request_hash);
  std::string text(kFormat);
  text.append("-").append(FormatGeneration(cursor.generation));
  text.append(hash.data()).append(cursor.owner).append("-");
  text.append(cursor.copy_holder.empty() ? kAbsent : cursor.copy_holder);
  text.append("-").append(cursor.engine).append("-");
  text.append(std::to_string(cursor.attempt)).append("-");
  text.append(std::to_string(cursor.position));
  return text;
}

std::optional<StreamCursor> ParseStreamCursor(std::string_view text) {
  if (text.size() > kMaxCursorBytes) {
    return std::nullopt;
  }
  const auto fields = Split(text);
  if (!fields || (*fields)[0] != kFormat) {
    return std::nullopt;
  }
  const auto& [format, generation, hash, owner, copy, engine, attempt,
               position] = *fields;
  StreamCursor cursor;
  const bool numbers_ok = ParseNumber(generation, 16, &cursor.generation) &&
                          ParseNumber(hash, 16, &cursor.request_hash) &&
                          ParseNumber(attempt, 10, &cursor.attempt) &&
                          cursor.attempt <= kMaxCursorAttempt &&
                          ParseNumber(position, 10, &cursor.position);
  const bool addresses_ok = IsAddress(owner) && IsAddress(engine) &&
                            (copy == kAbsent || IsAddress(copy));
  if (!numbers_ok || !addresses_ok) {
    return std::nullopt;
  }
  cursor.owner = owner;
  cursor.copy_holder = copy == kAbsent ? std::string_view() : copy;
  cursor.engine = engine;
  return cursor;
}

}  // namespace bramleybank
