// The gateway: forwards requests of callers to endpoints that are registered
// in the platform's store.
#ifndef BRAMLEYBANK_SRC_GATEWAY_H_
#define BRAMLEYBANK_SRC_GATEWAY_H_

#include <cstdint>
#include <memory>

#include "bramleybank/result_code.h"

namespace bramleybank {

class EventLoop;
class MetadataStore;
struct GatewayCodec;
struct GatewayRows;
struct GatewaySettings;

/// All parts of one gateway on an event loop.
class Gateway {
 public:
  Gateway(EventLoop* loop,
          const GatewaySettings& settings,
          MetadataStore* store,
          const GatewayCodec& codec,
          const GatewayRows& rows);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// Opens the ports and follows the store.
  /// @returns false with last_reason() set when a port cannot be opened.
  bool Start();

  /// @returns the port for callers, once Start() has succeeded.
  uint16_t caller_port() const;

  /// Takes over settings that may change while the process runs: the time of a
  /// planned stop and the retry budget.
  void Reload(const GatewaySettings& settings);

  /// Starts a planned stop; the event loop stops when nothing is open.
  void Drain();

  const Reason& last_reason() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_GATEWAY_H_
