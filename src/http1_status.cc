// Reason phrases come from libhttp-parser.
#include "http1_status.h"

#include <http_parser.h>

namespace bramleybank {
namespace {

constexpr int kStatusNoContent = 204;
constexpr int kStatusNotModified = 304;

}  // namespace

std::string_view ReasonPhrase(int status) {
  const std::string_view phrase =
      http_status_str(static_cast<http_status>(status));
  return phrase.starts_with('<') ? std::string_view("Status") : phrase;
}

bool HasNoBody(int status) {
  return status == kStatusNoContent || status == kStatusNotModified;
}

}  // namespace bramleybank
