#include "../apps/hawthornload/requests.h"

#include "../apps/hawthornload/watches.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank::load;
using std::chrono::seconds;

namespace {

const Clock::time_point kNow = Clock::time_point(seconds(1000));

auto MakeRequest() -> Request {
  Request request;
  request.deadline = kNow + seconds(3);
  request.attempts = 1;
  return request;
}

}  // namespace

TEST_GROUP(LoadRequests){};

TEST(LoadRequests, SuccessResponseCountsAsAnswered) {
  auto request = MakeRequest();
  CHECK(!ApplyResponseToRequest(request, {.code_class = 2, .code_detail = 4},
                                kNow));
  CHECK(request.outcome == Outcome::kAnswered);
}

TEST(LoadRequests, EchoIsRepeatedThreeTimesThenCountsAsRefused) {
  auto request = MakeRequest();
  const CoapResponse response{
      .code_class = 4, .code_detail = 1, .echo = {7, 8}};
  int repeats = 0;
  while (ApplyResponseToRequest(request, response, kNow)) {
    CHECK(request.message.echo == response.echo);
    ++repeats;
  }
  CHECK_EQUAL(3, repeats);
  CHECK(request.outcome == Outcome::kRefused);
}

TEST(LoadRequests, ChallengeWithoutEchoCountsAsRefused) {
  auto request = MakeRequest();
  CHECK(!ApplyResponseToRequest(request, {.code_class = 4, .code_detail = 1},
                                kNow));
  CHECK(request.outcome == Outcome::kRefused);
}

TEST(LoadRequests, UnavailableResponseIsRetriedAfterMaxAge) {
  auto request = MakeRequest();
  const CoapResponse response{
      .code_class = 5, .code_detail = 3, .max_age = seconds(2)};
  CHECK(!ApplyResponseToRequest(request, response, kNow));
  CHECK(!request.outcome);
  CHECK(request.retry_at == kNow + seconds(2));
}

TEST(LoadRequests, RetryPastTheDeadlineCountsAsRefused) {
  auto request = MakeRequest();
  const CoapResponse response{
      .code_class = 5, .code_detail = 3, .max_age = seconds(3)};
  CHECK(!ApplyResponseToRequest(request, response, kNow));
  CHECK(request.outcome == Outcome::kRefused);
}

TEST(LoadRequests, ResponseWithUnknownOutcomeIsNotRetried) {
  for (const std::uint8_t detail : {0, 2}) {
    auto request = MakeRequest();
    const CoapResponse response{.code_class = 5, .code_detail = detail};
    CHECK(!ApplyResponseToRequest(request, response, kNow));
    CHECK(request.outcome == Outcome::kUnknown);
    CHECK(!request.retry_at);
  }
}

TEST_GROUP(LoadWatches) {
  ServiceUnderLoad service{.workload = {.service = "fitquote"}};
  Watches watches;
  Watch watch;
  void setup() override {
    watch.service = &service;
  }
};

TEST(LoadWatches, MissingNotificationNumbersCountAsGaps) {
  RecordNotification(watches, watch, "fitquote fitquote-1 5", kNow);
  RecordNotification(watches, watch, "fitquote fitquote-1 6", kNow);
  RecordNotification(watches, watch, "fitquote fitquote-1 9", kNow);
  CHECK_EQUAL(1, watches.counters.opened);
  CHECK_EQUAL(2, watches.counters.gaps);
}

TEST(LoadWatches, ReorderedNotificationCountsNoGap) {
  RecordNotification(watches, watch, "fitquote fitquote-1 6", kNow);
  RecordNotification(watches, watch, "fitquote fitquote-1 5", kNow);
  RecordNotification(watches, watch, "fitquote fitquote-1 7", kNow);
  CHECK_EQUAL(0, watches.counters.gaps);
}

TEST(LoadWatches, NotificationFromAnotherTargetOrServiceIsCounted) {
  RecordNotification(watches, watch, "fitquote fitquote-1 6", kNow);
  RecordNotification(watches, watch, "fitquote fitquote-2 7", kNow);
  RecordNotification(watches, watch, "planstore planstore-1 8", kNow);
  CHECK_EQUAL(2, watches.counters.moved);
  CHECK_EQUAL(1, watches.counters.wrong_service);
}
