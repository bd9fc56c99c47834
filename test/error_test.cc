#include "hawthornbank/error.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;

TEST_GROUP(ErrorTable){};

TEST(ErrorTable, ErrorNamesAreUnique) {
  std::set<std::string_view> names;
  for (const auto& answer : kErrorAnswers) {
    CHECK(names.insert(answer.name).second);
  }
}

TEST(ErrorTable, ErrorsOfRequestsThatRanAreNotRetryable) {
  for (const auto& answer : kErrorAnswers) {
    CHECK(!answer.retryable || answer.execution != Execution::kRan);
  }
}
