// Finds configurations that were acknowledged and that a store which has been
// restored from an older copy does not show yet.
#ifndef BRAMLEYBANK_SRC_CONFIG_CATCH_UP_H_
#define BRAMLEYBANK_SRC_CONFIG_CATCH_UP_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bramleybank/handle.h"
#include "gateway_member.h"
#include "hooks.h"

namespace bramleybank {

class EventLoop;

/// Asks other gateways for a configuration that is newer than the known one.
/// Gateways keep the newest configuration that they have received, so until the
/// operator writes it again, it is known to those that ran before the restore.
/// A gateway that starts after it, or that was cut off from the store before
/// it, learns it from them. Asks some gateways in several rounds, since those
/// that are asked may be gone, or may not know this gateway yet.
class ConfigCatchUp {
 public:
  using MembersCallback =
      std::function<void(const std::vector<GatewayMember>& members)>;
  /// Gets the encoded configuration, empty when the other gateway knows none
  /// that is newer; nothing without an answer or when it refuses to answer.
  using AnswerCallback =
      std::function<void(const std::optional<std::string>& value)>;

  struct Hooks {
    RandomHook random;
    /// Finds up to `count` other gateways that are probably alive.
    std::function<void(size_t count, MembersCallback callback)> find_members;
    /// Asks a gateway; calls back once, after a bounded time.
    std::function<void(const GatewayMember& member, AnswerCallback callback)>
        ask;
    /// A newer configuration was found.
    std::function<void(const std::string& value)> on_config;
    /// is_blocking() has become false.
    std::function<void()> on_unblocked;
  };

  ConfigCatchUp(EventLoop* loop, Hooks hooks);
  ~ConfigCatchUp();
  ConfigCatchUp(const ConfigCatchUp&) = delete;
  ConfigCatchUp& operator=(const ConfigCatchUp&) = delete;

  /// The first configuration comes from a store that has been restored at some
  /// time: asks at once, and blocks until the first round has ended.
  void OnFirstConfig();
  /// The store has been restored: asks after a random delay, because all
  /// gateways notice it at the same time.
  void OnRestored();
  /// @returns whether the known configuration should not be used yet.
  bool is_blocking() const { return m_is_blocking; }

 private:
  void StartRounds(Duration delay);
  void RunRound();
  void Ask(const std::vector<GatewayMember>& members);
  void OnAnswer(const std::optional<std::string>& value);
  void EndBlocking();

  EventLoop* m_loop;
  const Hooks m_hooks;
  int m_rounds_left = 0;
  // Gateways of the current round that have not answered or refused.
  size_t m_open_answers = 0;
  bool m_is_blocking = false;
  TimerHandle m_round_timer;
  TimerHandle m_block_timer;
  // Callbacks that outlive this object detect that it has expired.
  std::shared_ptr<ConfigCatchUp*> m_alive;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_CONFIG_CATCH_UP_H_
