// Rounds of questions to other gateways.
#include "config_catch_up.h"

#include <utility>

#include "bramleybank/limits.h"
#include "event_loop.h"

namespace bramleybank {

ConfigCatchUp::ConfigCatchUp(EventLoop* loop, Hooks hooks)
    : m_loop(loop),
      m_hooks(std::move(hooks)),
      m_alive(std::make_shared<ConfigCatchUp*>(this)) {}

ConfigCatchUp::~ConfigCatchUp() {
  m_loop->Cancel(m_round_timer);
  m_loop->Cancel(m_block_timer);
}

void ConfigCatchUp::OnFirstConfig() {
  m_is_blocking = true;
  m_block_timer =
      m_loop->Schedule(kMaxConfigCatchUpWait, [this] { EndBlocking(); });
  StartRounds(Duration{0});
}

void ConfigCatchUp::OnRestored() {
  StartRounds(EqualJitter(kConfigCatchUpInterval, m_hooks.random));
}

void ConfigCatchUp::StartRounds(Duration delay) {
  m_rounds_left = kConfigCatchUpRounds;
  m_loop->Cancel(m_round_timer);
  m_round_timer = m_loop->Schedule(delay, [this] { RunRound(); });
}

void ConfigCatchUp::RunRound() {
  m_round_timer = TimerHandle();
  if (--m_rounds_left > 0) {
    const Duration interval =
        m_is_blocking ? kBlockedCatchUpInterval : kConfigCatchUpInterval;
    m_round_timer = m_loop->Schedule(EqualJitter(interval, m_hooks.random),
                                     [this] { RunRound(); });
  }
  m_hooks.find_members(kConfigCatchUpMembers,
                       [weak = std::weak_ptr(m_alive)](
                           const std::vector<GatewayMember>& members) {
                         if (const auto self = weak.lock()) {
                           (*self)->Ask(members);
                         }
                       });
}

void ConfigCatchUp::Ask(const std::vector<GatewayMember>& members) {
  m_open_answers = members.size();
  if (members.empty()) {
    EndBlocking();
    return;
  }
  for (const GatewayMember& member : members) {
    m_hooks.ask(member, [weak = std::weak_ptr(m_alive)](
                            const std::optional<std::string>& value) {
      if (const auto self = weak.lock()) {
        (*self)->OnAnswer(value);
      }
    });
  }
}

void ConfigCatchUp::OnAnswer(const std::optional<std::string>& value) {
  if (!value) {
    return;
  }
  if (!value->empty()) {
    m_hooks.on_config(*value);
  }
  // An answer of an earlier round may arrive after all those of the last one.
  if (m_open_answers > 0 && --m_open_answers == 0) {
    EndBlocking();
  }
}

void ConfigCatchUp::EndBlocking() {
  m_loop->Cancel(m_block_timer);
  m_block_timer = TimerHandle();
  if (std::exchange(m_is_blocking, false)) {
    m_hooks.on_unblocked();
  }
}

}  // namespace bramleybank
