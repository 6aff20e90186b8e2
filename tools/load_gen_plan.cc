// Request plan of the load tool.
#include "load_gen_plan.h"

#include <algorithm>
#include <cmath>

namespace bramleybank {
namespace {

std::vector<double> CumulativeCustomerShares(int customers, double skew) {
  std::vector<double> sums;
  double sum = 0;
  for (int k = 1; k <= customers; ++k) {
    sum += std::pow(k, -skew);
    sums.push_back(sum);
  }
  for (double& value : sums) {
    value /= sum;
  }
  return sums;
}

}  // namespace

LoadPlan::LoadPlan(const LoadSettings& settings)
    : m_settings(settings),
      m_random(settings.seed),
      m_cumulative_shares(CumulativeCustomerShares(settings.customers,
                                                   settings.customer_skew)) {}

double LoadPlan::DrawUniform() {
  // std::uniform_real_distribution gives different values with different
  // standard libraries.
  return static_cast<double>(m_random() >> 11U) * 0x1p-53;
}

std::optional<PlannedRequest> LoadPlan::Next() {
  const double gap_s = -std::log(1 - DrawUniform()) / m_settings.rate;
  m_at += Duration(static_cast<int64_t>(gap_s * 1e6));
  if ((m_settings.requests > 0 && m_count >= m_settings.requests) ||
      (m_settings.duration.count() > 0 && m_at > m_settings.duration)) {
    return std::nullopt;
  }
  PlannedRequest request;
  request.kind = PickKind();
  request.at = m_at;
  const auto customer =
      std::ranges::lower_bound(m_cumulative_shares, DrawUniform()) -
      m_cumulative_shares.begin();
  request.customer = "customer-" + std::to_string(customer + 1);
  request.max_tokens = DrawUniform() < m_settings.long_share
                           ? m_settings.long_tokens
                           : m_settings.short_tokens;
  request.prompt = MakePrompt();
  request.key =
      "load-" + std::to_string(m_random()) + "-" + std::to_string(++m_count);
  return request;
}

LoadKind LoadPlan::PickKind() {
  const double service = DrawUniform();
  const double kind = DrawUniform();
  if (service < m_settings.service_share) {
    return kind < m_settings.lookup_share ? LoadKind::kLookup
                                          : LoadKind::kBooking;
  }
  return kind < m_settings.chat_share ? LoadKind::kChat : LoadKind::kCompletion;
}

std::string LoadPlan::MakePrompt() {
  const auto group =
      m_random() % static_cast<uint64_t>(m_settings.prompt_groups);
  std::string prompt = "history of plot " + std::to_string(group) + ":";
  const uint64_t shared = m_settings.prompt_bytes * 3 / 4;
  while (prompt.size() < shared) {
    prompt += " tended in row " + std::to_string(group);
  }
  prompt += " report " + std::to_string(m_random()) + " ";
  if (prompt.size() < m_settings.prompt_bytes) {
    prompt.resize(m_settings.prompt_bytes, '.');
  }
  return prompt;
}

}  // namespace bramleybank
