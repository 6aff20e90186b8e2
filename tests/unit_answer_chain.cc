// Guards against a checker that accepts a broken answer. Each kind of damage
// must be reported as its own fault, and a complete answer without any fault.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "answer_chain.h"

namespace bramleybank {
namespace {

using Texts = std::vector<std::string>;

const uint32_t kStart = InitialChainHash("writer", "v1", "", "a prompt");

/// @returns `count` tokens: `prefix`, continued by a process with `nonce`.
Texts Generate(uint16_t nonce, size_t count, Texts prefix = {}) {
  uint32_t chain = kStart;
  Texts texts;
  for (size_t i = 0; i < count; ++i) {
    texts.push_back(i < prefix.size() ? prefix[i] : FormatToken(nonce, chain));
    chain = NextChainHash(chain, texts.back(), i + 1);
  }
  return texts;
}

std::vector<AnswerFault> Check(const Texts& texts,
                               uint64_t max_tokens,
                               std::optional<uint64_t> count = {}) {
  AnswerChecker checker(kStart, max_tokens);
  for (const std::string& text : texts) {
    checker.Feed(text);
  }
  checker.Finish(count);
  return checker.faults();
}

TEST_CASE("a complete answer has no fault") {
  CHECK(Check(Generate(7, 20), 20, 20).empty());
}

TEST_CASE("a resume by another process has no fault") {
  CHECK(Check(Generate(9, 20, Generate(7, 8)), 20, 20).empty());
}

TEST_CASE("text split at any place has no fault") {
  std::string all;
  for (const std::string& text : Generate(7, 5)) {
    all += text;
  }
  Texts parts;
  for (const char c : all) {
    parts.emplace_back(1, c);
  }
  CHECK(Check(parts, 5, 5).empty());
}

TEST_CASE("missing tokens are reported with their positions") {
  Texts texts = Generate(7, 10);
  texts.erase(texts.begin() + 3, texts.begin() + 5);
  CHECK(Check(texts, 10) ==
        std::vector<AnswerFault>{{AnswerFaultKind::kMissing, 4},
                                 {AnswerFaultKind::kMissing, 5},
                                 {AnswerFaultKind::kShort, 8}});
}

TEST_CASE("a missing first token is reported") {
  Texts texts = Generate(7, 10);
  texts.erase(texts.begin());
  CHECK(Check(texts, 10).front() == AnswerFault{AnswerFaultKind::kMissing, 1});
}

TEST_CASE("tokens lost on either side of a resume are reported") {
  for (const int lost : {3, 4}) {
    Texts texts = Generate(9, 10, Generate(7, 4));
    texts.erase(texts.begin() + lost);
    CHECK(Check(texts, 10).front() ==
          AnswerFault{AnswerFaultKind::kMissing,
                      static_cast<uint64_t>(lost) + 1});
  }
}

TEST_CASE("a repeated token is reported") {
  Texts texts = Generate(7, 10);
  texts.insert(texts.begin() + 6, texts[2]);
  CHECK(Check(texts, 10, 10) ==
        std::vector<AnswerFault>{{AnswerFaultKind::kRepeated, 3},
                                 {AnswerFaultKind::kOverlong, 11},
                                 {AnswerFaultKind::kWrongCount, 10}});
}

TEST_CASE("reordered tokens are reported") {
  Texts texts = Generate(7, 10);
  std::swap(texts[4], texts[5]);
  CHECK(Check(texts, 10, 10) ==
        std::vector<AnswerFault>{{AnswerFaultKind::kReordered, 5}});
}

TEST_CASE("mixed generations are reported") {
  const Texts first = Generate(7, 10);
  const Texts second = Generate(9, 10);
  Texts replaced = first;
  replaced[5] = second[5];
  CHECK(Check(replaced, 10).front() == AnswerFault{AnswerFaultKind::kMixed, 6});
  Texts switched = first;
  std::copy(second.begin() + 5, second.end(), switched.begin() + 5);
  CHECK(Check(switched, 10) ==
        std::vector<AnswerFault>{{AnswerFaultKind::kMixed, 6}});
  // The same position sampled twice, the second sample after the first.
  Texts resampled = first;
  resampled.insert(resampled.begin() + 6, Generate(9, 6, Generate(7, 5))[5]);
  CHECK(Check(resampled, 11).front() ==
        AnswerFault{AnswerFaultKind::kMixed, 6});
}

TEST_CASE("an answer of another request is reported") {
  AnswerChecker checker(InitialChainHash("writer", "v1", "", "another prompt"),
                        5);
  checker.Feed(Generate(7, 5)[0]);
  CHECK(checker.faults() ==
        std::vector<AnswerFault>{{AnswerFaultKind::kMixed, 1}});
}

TEST_CASE("short and overlong answers are reported") {
  CHECK(Check(Generate(7, 9), 10, 9) ==
        std::vector<AnswerFault>{{AnswerFaultKind::kShort, 9}});
  CHECK(Check(Generate(7, 11), 10, 11) ==
        std::vector<AnswerFault>{{AnswerFaultKind::kOverlong, 11}});
  CHECK(Check(Generate(7, 10), 10, 9) ==
        std::vector<AnswerFault>{{AnswerFaultKind::kWrongCount, 9}});
}

TEST_CASE("text that is not a token is reported") {
  Texts texts = Generate(7, 3);
  texts[1][5] = 'x';
  CHECK(Check(texts, 3).front().kind == AnswerFaultKind::kMalformed);
  texts = Generate(7, 3);
  texts[2].pop_back();
  CHECK(Check(texts, 3).front() == AnswerFault{AnswerFaultKind::kMalformed, 3});
}

TEST_CASE("the start depends on model, version, adapter and prompt") {
  CHECK(InitialChainHash("a", "b", "c", "d") !=
        InitialChainHash("ab", "", "c", "d"));
  CHECK(InitialChainHash("a", "b", "c", "d") !=
        InitialChainHash("a", "b", "cd", ""));
  CHECK(InitialChainHash("a", "b", "c", "d") !=
        InitialChainHash("a", "v", "c", "d"));
}

TEST_CASE("a chat prompt depends on roles and contents") {
  const auto prompt = [](const char* body) {
    return ExtractPrompt(nlohmann::json::parse(body));
  };
  CHECK(prompt(R"({"messages":[{"role":"user","content":"x"}]})") ==
        "user\nx\n");
  CHECK_FALSE(prompt(R"({"messages":[{"role":"user"}]})"));
  CHECK_FALSE(prompt(R"({"prompt":5})"));
  CHECK_FALSE(prompt("{}"));
}

}  // namespace
}  // namespace bramleybank
