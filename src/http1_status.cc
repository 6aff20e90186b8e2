// Reason phrases come from libhttp-parser.
#include "http1_status.h"

#include <http_parser.h>

namespace bramleybank {
namespace {

constexpr int kStatusNoContent = 204;
constexpr int kStatusNotModified = 304;

constexpr std::string_view kVersionPrefix = "HTTP/1.";
constexpr size_t kStatusOffset = kVersionPrefix.size() + 2;
constexpr size_t kStatusDigits = 3;
static_assert(kStatusOffset + kStatusDigits == kMinStatusLineBytes);

}  // namespace

bool MayStandInStatusLine(char byte, size_t offset) {
  if (offset < kVersionPrefix.size()) {
    return byte == kVersionPrefix[offset];
  }
  if (offset == kStatusOffset - 1 || offset == kMinStatusLineBytes) {
    return byte == ' ';
  }
  if (offset == kStatusOffset) {
    return byte >= '1' && byte <= '5';
  }
  return offset > kMinStatusLineBytes || (byte >= '0' && byte <= '9');
}

bool IsValidStatusLine(std::string_view line) {
  for (size_t i = 0; i < line.size() && i <= kMinStatusLineBytes; ++i) {
    if (!MayStandInStatusLine(line[i], i)) {
      return false;
    }
  }
  return line.size() >= kMinStatusLineBytes;
}

std::string_view ReasonPhrase(int status) {
  const std::string_view phrase =
      http_status_str(static_cast<http_status>(status));
  return phrase.starts_with('<') ? std::string_view("Status") : phrase;
}

bool HasNoBody(int status) {
  return status == kStatusNoContent || status == kStatusNotModified;
}

}  // namespace bramleybank
