// The daemon: creates its components and connects them.
#ifndef BRAMLEYBANK_SRC_DAEMON_H_
#define BRAMLEYBANK_SRC_DAEMON_H_

#include <memory>

#include "bramleybank/result_code.h"

namespace bramleybank {

class EventLoop;
struct DaemonSettings;

/// One daemon, which runs on its own event loop.
class Daemon {
 public:
  Daemon(EventLoop* loop, const DaemonSettings& settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Opens the ports and starts serving.
  /// @returns false with last_reason() set when a port cannot be opened.
  bool Start();

  /// Starts a planned stop. The event loop stops when no work is open or the
  /// drain time is over.
  void Drain();

  const Reason& last_reason() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_DAEMON_H_
