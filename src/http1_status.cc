// Looks the reason phrases up in libhttp-parser.
#include "http1_status.h"

#include <http_parser.h>

namespace bramleybank {

std::string_view ReasonPhrase(int status) {
  const std::string_view phrase =
      http_status_str(static_cast<http_status>(status));
  return phrase.starts_with('<') ? std::string_view("Status") : phrase;
}

}  // namespace bramleybank
