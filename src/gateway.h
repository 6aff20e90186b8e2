// The gateway: forwards requests of callers to endpoints that are registered in
// the platform's metadata store.
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

/// Owns all parts of one gateway on an event loop.
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

  /// Opens the ports and starts watching the store.
  /// @returns false with last_reason() set when a port cannot be opened.
  bool Start();

  /// @returns the port for callers, once Start() has succeeded.
  uint16_t caller_port() const;

  /// Applies the settings that may change while the process runs: the shutdown
  /// grace period and the retry budget.
  void Reload(const GatewaySettings& settings);

  /// Starts a graceful shutdown. The event loop stops when no request is open,
  /// or shortly before the grace period ends.
  void Drain();

  const Reason& last_reason() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_GATEWAY_H_
