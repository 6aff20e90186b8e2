// JSON answers of the stand-ins.
#ifndef BRAMLEYBANK_TOOLS_STANDIN_REPLY_H_
#define BRAMLEYBANK_TOOLS_STANDIN_REPLY_H_

#include <nlohmann/json.hpp>

#include "http_responder.h"

namespace bramleybank {

/// Sends a complete JSON answer. Invalid UTF-8 is replaced.
inline void ReplyJson(HttpResponder* responder,
                      int status,
                      const nlohmann::json& body) {
  responder->Respond(
      status, {{"Content-Type", "application/json"}},
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_STANDIN_REPLY_H_
