// Tests an address that passes from one exchange to another, on virtual time: which of the two is reached there, and
// what becomes of the calls at either.
#include <gtest/gtest.h>

#include <algorithm>
#include <ostream>

#include "platform_fixture.h"

namespace croftrun::platform {
namespace {

constexpr int kNumber = 3;
constexpr char kOld[] = "s-old", kNew[] = "s-new";

// Order of two exchanges in a whole list, and the state in which it lists the one that is gone.
struct ListTraits {
  bool successor_first = false;
  const char* old_state = "";
  friend void PrintTo(const ListTraits& traits, std::ostream* out) {
    *out << traits.old_state << (traits.successor_first ? ", successor first" : ", predecessor first");
  }
};

class AddressSuccessionTest : public PlatformTest {
 protected:
  AddressSuccessionTest() : exchange_(&runtime_, ExchangeAddress(kNumber)), caller_(ConnectCaller()) {}
  std::int64_t UnixMs() const { return runtime_.WallClockUs() / 1000; }
  // Publishes the whole list: the exchanges of the fixture and these.
  void PublishList(std::vector<json> targets) {
    for (const int number : {0, 1, 2}) targets.push_back(TargetJson(number));
    ++event_;
    discovery_.Publish(event_, EventJson(event_, true, targets));
    runtime_.RunFor(50 * kMs);
  }
  void Publish(const std::vector<json>& targets) {
    PublishChanges(++event_, targets);
    runtime_.RunFor(50 * kMs);
  }
  void PublishOldExchange() { Publish({TargetJson(kNumber, "Ready", kOld)}); }
  // The process ends and another one starts at once at its address. Returns the time of its start.
  std::int64_t ReplaceProcess() {
    exchange_.Stop();
    exchange_.Start();
    const std::int64_t started_ms = UnixMs();
    runtime_.RunFor(100 * kMs);
    return started_ms;
  }
  void SetUpAnsweredCall(const std::string& id) {
    caller_->SetUp(id, kNumber);
    runtime_.RunFor(5 * kMs);
    ASSERT_EQ(caller_->FinalMessages(id).size(), 1U);
    ASSERT_EQ(caller_->FinalMessages(id)[0].type, MessageType::kAnswer);
  }
  void ExpectCallStandsAndItsReleaseIsForwarded() {
    runtime_.RunFor(200 * kMs);
    EXPECT_EQ(caller_->FinalMessages(kCall).size(), 1U);
    EXPECT_TRUE(exchange_.Received(MessageType::kRelease).empty());
    ASSERT_FALSE(exchange_.OpenConnections().empty());
    PlatformExchange::Release(*exchange_.OpenConnections().back(), kCall, 16);
    runtime_.RunFor(5 * kMs);
    ASSERT_EQ(caller_->FinalMessages(kCall).size(), 2U);
    EXPECT_EQ(caller_->FinalMessages(kCall)[1].cause, 16);
  }

  std::uint64_t event_ = 1;
  PlatformExchange exchange_;
  std::unique_ptr<PlatformCaller> caller_;
};

class ListedSuccessionTest : public AddressSuccessionTest, public ::testing::WithParamInterface<ListTraits> {
 protected:
  void PublishBoth() {
    std::vector<json> targets{TargetJson(kNumber, GetParam().old_state, kOld),
                              TargetJson(kNumber, "Ready", kNew, UnixMs())};
    if (GetParam().successor_first) std::swap(targets[0], targets[1]);
    PublishList(targets);
  }
};

// Guards against a successor that is taken for the older of two exchanges with one address (review case 7): a call that
// was announced at it is told over while it stands.
TEST_P(ListedSuccessionTest, CallAnnouncedAtSuccessorStands) {
  PublishBoth();
  caller_->SetUp(kCall, kNumber, std::string(";at:") + kNew);
  Publish({TargetJson(kNumber, "Gone", kOld)});
  runtime_.RunFor(200 * kMs);
  EXPECT_TRUE(caller_->FinalMessages(kCall).empty());
  ASSERT_FALSE(exchange_.OpenConnections().empty());
  PlatformExchange::Release(*exchange_.OpenConnections()[0], kCall, 16);
  runtime_.RunFor(5 * kMs);
  ASSERT_EQ(caller_->FinalMessages(kCall).size(), 1U);
  EXPECT_EQ(caller_->FinalMessages(kCall)[0].cause, 16);
}

// Guards against a successor that is retired with its predecessor, so that calls to its number are refused for good.
TEST_P(ListedSuccessionTest, CallsToSuccessorStandBeforeAndAfterItsPredecessorIsGone) {
  PublishBoth();
  SetUpAnsweredCall(kCall);
  Publish({TargetJson(kNumber, "Gone", kOld)});
  SetUpAnsweredCall(kOtherCall);
  ExpectCallStandsAndItsReleaseIsForwarded();
}

INSTANTIATE_TEST_SUITE_P(OrdersAndStates, ListedSuccessionTest,
                         ::testing::Values(ListTraits{false, "Terminating"}, ListTraits{true, "Terminating"},
                                           ListTraits{false, "Ready"}, ListTraits{true, "Ready"}),
                         [](const auto& traits) {
                           return std::string(traits.param.successor_first ? "SuccessorFirst" : "PredecessorFirst") +
                                  traits.param.old_state;
                         });

// Guards against a new process that is taken for the one that had its address: a call that it answered before the
// directory listed it is told over while it stands.
TEST_F(AddressSuccessionTest, CallAnsweredBeforeSuccessorIsListedStands) {
  PublishOldExchange();
  const std::int64_t started_ms = ReplaceProcess();
  SetUpAnsweredCall(kCall);
  Publish({TargetJson(kNumber, "Ready", kNew, started_ms)});
  Publish({TargetJson(kNumber, "Gone", kOld)});
  EXPECT_EQ(node_->exchanges().counters().taken_over, 1U);
  ExpectCallStandsAndItsReleaseIsForwarded();
}

TEST_F(AddressSuccessionTest, CallAnsweredBeforeSuccessorIsListedStandsIfRemovalIsToldWithTheStart) {
  PublishOldExchange();
  const std::int64_t started_ms = ReplaceProcess();
  SetUpAnsweredCall(kCall);
  Publish({TargetJson(kNumber, "Gone", kOld), TargetJson(kNumber, "Ready", kNew, started_ms)});
  ExpectCallStandsAndItsReleaseIsForwarded();
}

// Guards against a call that its caller was told is over, and that stands on at a successor not listed yet.
TEST_F(AddressSuccessionTest, CallAtUnlistedSuccessorIsReleasedIfRemovalIsToldFirst) {
  PublishOldExchange();
  ReplaceProcess();
  SetUpAnsweredCall(kCall);
  Publish({TargetJson(kNumber, "Gone", kOld)});
  EXPECT_EQ(caller_->FinalMessages(kCall).size(), 1U);
  runtime_.RunFor(900 * kMs);
  EXPECT_EQ(caller_->FinalMessages(kCall).size(), 2U);
  const std::vector<Message> releases = exchange_.Received(MessageType::kRelease);
  ASSERT_EQ(releases.size(), 1U);
  EXPECT_EQ(releases[0].id, kCall);
}

// Guards against a call that is cut because the removal is told in an event before the start.
TEST_F(AddressSuccessionTest, CallAtSuccessorStandsIfItsStartIsToldShortlyAfterTheRemoval) {
  PublishOldExchange();
  const std::int64_t started_ms = ReplaceProcess();
  SetUpAnsweredCall(kCall);
  Publish({TargetJson(kNumber, "Gone", kOld)});
  runtime_.RunFor(500 * kMs);
  Publish({TargetJson(kNumber, "Ready", kNew, started_ms)});
  runtime_.RunFor(1'000 * kMs);
  ExpectCallStandsAndItsReleaseIsForwarded();
}

// Guards against the same for a call whose own connection has ended, while another one to the successor is open.
TEST_F(AddressSuccessionTest, CallWithoutItsConnectionStandsAtSuccessorToldAfterTheRemoval) {
  PublishOldExchange();
  const std::int64_t started_ms = ReplaceProcess();
  const auto answers = std::exchange(exchange_.on_set_up, [](PlatformConnection&, const Message&) {});
  for (const char* const id : {kCall, kOtherCall}) caller_->SetUp(id, kNumber);
  runtime_.RunFor(5 * kMs);
  ASSERT_EQ(exchange_.OpenConnections().size(), 2U);
  PlatformExchange::Answer(*exchange_.OpenConnections()[0], kCall, "answer");
  PlatformExchange::Release(*exchange_.OpenConnections()[1], kOtherCall, 17);
  runtime_.RunFor(5 * kMs);
  exchange_.OpenConnections()[0]->Reset();
  runtime_.RunFor(5 * kMs);
  Publish({TargetJson(kNumber, "Gone", kOld)});
  Publish({TargetJson(kNumber, "Ready", kNew, started_ms)});
  ExpectCallStandsAndItsReleaseIsForwarded();
}

TEST_F(AddressSuccessionTest, CallOfPredecessorEndsWhenSuccessorIsListed) {
  PublishOldExchange();
  SetUpAnsweredCall(kCall);
  runtime_.RunFor(10 * kMs);
  Publish({TargetJson(kNumber, "Ready", kNew, UnixMs())});
  ASSERT_EQ(caller_->FinalMessages(kCall).size(), 2U);
  EXPECT_EQ(caller_->FinalMessages(kCall)[1].cause, 41);
}

// How a replacement is listed, relative to the listing of the removal.
enum class StartListing : std::uint8_t { kBefore, kTogether, kAfter, kWholeList };

class LateAnswerTest : public AddressSuccessionTest, public ::testing::WithParamInterface<StartListing> {
 protected:
  // Sets up a call whose answer is read after the start that the directory will state. Returns that start.
  std::int64_t SetUpCallWithLateAnswer() {
    const auto answers = std::exchange(exchange_.on_set_up, [](PlatformConnection&, const Message&) {});
    runtime_.RunFor(2'000 * kMs);
    caller_->SetUp(kCall, kNumber);
    runtime_.RunFor(5 * kMs);
    const std::int64_t started_ms = UnixMs();
    runtime_.RunFor(40 * kMs);
    PlatformExchange::Answer(*exchange_.OpenConnections()[0], kCall, "late");
    runtime_.RunFor(5 * kMs);
    EXPECT_EQ(caller_->FinalMessages(kCall).size(), 1U);
    exchange_.on_set_up = answers;
    exchange_.Stop();
    exchange_.Start();
    return started_ms;
  }
  void PublishReplacement(std::int64_t started_ms) {
    const json removal = TargetJson(kNumber, "Gone", kOld), start = TargetJson(kNumber, "Ready", kNew, started_ms);
    switch (GetParam()) {
      case StartListing::kBefore:
        Publish({start});
        return Publish({removal});
      case StartListing::kTogether:
        return Publish({removal, start});
      case StartListing::kAfter:
        Publish({removal});
        return Publish({start});
      case StartListing::kWholeList:
        return PublishList({start});
    }
  }
};

// Report 3b80c6: the answer of a process that ended was read after the start of the next one at its address.
TEST_P(LateAnswerTest, CallAnsweredByProcessThatEndedIsToldOver) {
  PublishOldExchange();
  const std::int64_t started_ms = SetUpCallWithLateAnswer();
  runtime_.RunFor(400 * kMs);
  PublishReplacement(started_ms);
  runtime_.RunFor(200 * kMs);
  ASSERT_EQ(caller_->FinalMessages(kCall).size(), 2U);
  EXPECT_EQ(caller_->FinalMessages(kCall)[1].cause, 41);
}

// Guards against a start that is converted by the clock as it was when the softswitch started.
TEST_P(LateAnswerTest, WallClockThatIsSteppedChangesNothing) {
  constexpr std::int64_t kStepMs = 3'600'000;
  PublishOldExchange();
  std::int64_t started_ms = SetUpCallWithLateAnswer();
  runtime_.RunFor(400 * kMs);
  SetUpAnsweredCall(kOtherCall);
  runtime_.SetWallClock(runtime_.WallClockUs() - static_cast<std::int64_t>(runtime_.Now()) + kStepMs * kMs);
  started_ms += GetParam() == StartListing::kTogether ? kStepMs : 0;  // by a clock that was stepped as well
  PublishReplacement(started_ms);
  runtime_.RunFor(10'000 * kMs);
  EXPECT_EQ(caller_->FinalMessages(kCall).size(), 2U);
  EXPECT_EQ(caller_->FinalMessages(kOtherCall).size(), 1U);
}

TEST_P(LateAnswerTest, ClockOfTheStartMayBeOff) {
  PublishOldExchange();
  constexpr char kThirdCall[] = "9b1f03aa5c7e2d43";
  const std::int64_t started_ms = SetUpCallWithLateAnswer();
  runtime_.RunFor(400 * kMs);
  SetUpAnsweredCall(kThirdCall);
  PublishReplacement(started_ms + (GetParam() == StartListing::kTogether ? 300 : -300));
  runtime_.RunFor(10'000 * kMs);
  EXPECT_EQ(caller_->FinalMessages(kCall).size(), 2U);
  EXPECT_EQ(caller_->FinalMessages(kThirdCall).size(), 1U);
}

TEST_P(LateAnswerTest, CallOfNewProcessStandsBesideOneOfTheProcessThatEnded) {
  PublishOldExchange();
  const std::int64_t started_ms = SetUpCallWithLateAnswer();
  runtime_.RunFor(400 * kMs);
  SetUpAnsweredCall(kOtherCall);
  PublishReplacement(started_ms);
  runtime_.RunFor(10'000 * kMs);
  EXPECT_EQ(caller_->FinalMessages(kCall).size(), 2U);
  EXPECT_EQ(caller_->FinalMessages(kOtherCall).size(), 1U);
  for (const Message& release : exchange_.Received(MessageType::kRelease)) EXPECT_NE(release.id, kOtherCall);
}

std::string ListingName(const ::testing::TestParamInfo<StartListing>& listing) {
  constexpr const char* kNames[] = {"StartFirst", "Together", "RemovalFirst", "WholeList"};
  return kNames[static_cast<std::size_t>(listing.param)];
}

INSTANTIATE_TEST_SUITE_P(Listings, LateAnswerTest,
                         ::testing::Values(StartListing::kBefore, StartListing::kTogether, StartListing::kAfter,
                                           StartListing::kWholeList),
                         ListingName);

// Guards against a process that starts again under the same name, with no start stated for the one before.
TEST_F(AddressSuccessionTest, CallEndsWhenItsExchangeStatesALateStartUnderTheSameName) {
  PublishOldExchange();
  SetUpAnsweredCall(kCall);
  runtime_.RunFor(2'000 * kMs);
  const std::int64_t started_ms = ReplaceProcess();
  SetUpAnsweredCall(kOtherCall);
  Publish({TargetJson(kNumber, "Ready", kOld, started_ms)});
  ASSERT_EQ(caller_->FinalMessages(kCall).size(), 2U);
  EXPECT_EQ(caller_->FinalMessages(kCall)[1].cause, 41);
  EXPECT_EQ(caller_->FinalMessages(kOtherCall).size(), 1U);
}

// Guards against an answer that is given to the exchange which has the address by then.
TEST_F(AddressSuccessionTest, CallAnsweredByRemovedProcessAfterTheListingEndsWithItsConnection) {
  PublishOldExchange();
  exchange_.on_set_up = [](PlatformConnection&, const Message&) {};
  runtime_.RunFor(2'000 * kMs);
  caller_->SetUp(kCall, kNumber);
  runtime_.RunFor(5 * kMs);
  Publish({TargetJson(kNumber, "Gone", kOld), TargetJson(kNumber, "Ready", kNew, UnixMs())});
  PlatformExchange::Answer(*exchange_.OpenConnections()[0], kCall, "late");
  runtime_.RunFor(5 * kMs);
  EXPECT_EQ(caller_->FinalMessages(kCall).size(), 1U);
  exchange_.OpenConnections()[0]->Reset();
  runtime_.RunFor(50 * kMs);
  ASSERT_EQ(caller_->FinalMessages(kCall).size(), 2U);
  EXPECT_EQ(caller_->FinalMessages(kCall)[1].cause, 41);
}

// Guards against a silence that counts only from the listing on.
TEST_F(AddressSuccessionTest, SilenceOfSuccessorCountsFromItsLastSignOfLife) {
  PublishOldExchange();
  const std::int64_t started_ms = ReplaceProcess();
  runtime_.RunFor(2'000 * kMs);
  SetUpAnsweredCall(kCall);
  exchange_.is_accepting = false;
  runtime_.RunFor(5'000 * kMs);
  Publish({TargetJson(kNumber, "Gone", kOld), TargetJson(kNumber, "Ready", kNew, started_ms)});
  EXPECT_EQ(caller_->FinalMessages(kCall).size(), 1U);
  runtime_.RunFor(2'900 * kMs);
  EXPECT_EQ(caller_->FinalMessages(kCall).size(), 2U);
}

// Guards against a call that is released here and stands on at a process which is listed later.
TEST_F(AddressSuccessionTest, ReleaseThatWaitsForAConnectionReachesTheSuccessorThatHoldsTheCall) {
  PublishOldExchange();
  const std::int64_t started_ms = ReplaceProcess();
  SetUpAnsweredCall(kCall);
  exchange_.is_accepting = false;
  for (PlatformConnection* const connection : exchange_.OpenConnections()) connection->Reset();
  runtime_.RunFor(5 * kMs);
  caller_->Release(kCall);
  runtime_.RunFor(5 * kMs);
  Publish({TargetJson(kNumber, "Gone", kOld)});
  Publish({TargetJson(kNumber, "Ready", kNew, started_ms)});
  exchange_.is_accepting = true;
  runtime_.RunFor(2'000 * kMs);
  const std::vector<Message> releases = exchange_.Received(MessageType::kRelease);
  ASSERT_EQ(releases.size(), 1U);
  EXPECT_EQ(releases[0].id, kCall);
}

class ThreeProcessesTest : public AddressSuccessionTest, public ::testing::WithParamInterface<bool> {};

// Guards against calls of a process in the middle that was never used under its own name.
TEST_P(ThreeProcessesTest, CallsOfFormerProcessesEndWhenAllChangesAreToldAtOnce) {
  constexpr char kThirdCall[] = "9b1f03aa5c7e2d43";
  PublishOldExchange();
  runtime_.RunFor(2'000 * kMs);
  SetUpAnsweredCall(kCall);
  const std::int64_t middle_started_ms = ReplaceProcess();
  SetUpAnsweredCall(kOtherCall);
  runtime_.RunFor(300 * kMs);
  const std::int64_t newest_started_ms = ReplaceProcess();
  SetUpAnsweredCall(kThirdCall);
  std::vector<json> changes{TargetJson(kNumber, "Gone", kOld),
                            TargetJson(kNumber, "Ready", "s-middle", middle_started_ms),
                            TargetJson(kNumber, "Gone", "s-middle", middle_started_ms),
                            TargetJson(kNumber, "Ready", kNew, newest_started_ms)};
  if (GetParam()) std::swap(changes[0], changes[3]);
  Publish(changes);
  runtime_.RunFor(7'500 * kMs);
  EXPECT_EQ(caller_->FinalMessages(kCall).size(), 2U);
  EXPECT_EQ(caller_->FinalMessages(kOtherCall).size(), 2U);
  EXPECT_EQ(caller_->FinalMessages(kThirdCall).size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(NewestLastOrFirst, ThreeProcessesTest, ::testing::Bool());

// A connection that is requested while the process is replaced and comes up after it.
class UndecidedCallTest : public AddressSuccessionTest {
 protected:
  void SetUpCallAcrossReplacement() {
    PublishOldExchange();
    runtime_.RunFor(2'000 * kMs);
    const auto answers = std::exchange(exchange_.on_set_up, [](PlatformConnection&, const Message&) {});
    caller_->SetUp(kOtherCall, kNumber);  // occupies the open connection
    runtime_.RunFor(5 * kMs);
    exchange_.is_accepting = false;
    caller_->SetUp(kCall, kNumber);
    runtime_.RunFor(20 * kMs);
    caller_->Release(kOtherCall);
    runtime_.RunFor(kMs);
    exchange_.OpenConnections()[0]->Reset();
    started_ms_ = UnixMs();
    exchange_.on_set_up = answers;
    runtime_.RunFor(20 * kMs);
    exchange_.is_accepting = true;
    runtime_.RunFor(100 * kMs);
    ASSERT_EQ(caller_->FinalMessages(kCall).size(), 1U);
    ASSERT_EQ(caller_->FinalMessages(kCall)[0].type, MessageType::kAnswer);
    carrier_ = exchange_.OpenConnections()[0];
  }
  void PublishReplacement() {
    Publish({TargetJson(kNumber, "Gone", kOld), TargetJson(kNumber, "Ready", kNew, started_ms_)});
    EXPECT_EQ(node_->exchanges().counters().undecided, 1U);
  }
  std::size_t ReleasesOfCall() const {
    const std::vector<Message> releases = exchange_.Received(MessageType::kRelease);
    return static_cast<std::size_t>(
        std::count_if(releases.begin(), releases.end(), [](const Message& release) { return release.id == kCall; }));
  }

  std::int64_t started_ms_ = 0;
  PlatformConnection* carrier_ = nullptr;
};

TEST_F(UndecidedCallTest, StandsOnceItsConnectionHasCarriedDataAfterTheStart) {
  SetUpCallAcrossReplacement();
  PublishReplacement();
  ReportCircuits(*carrier_, 7);
  runtime_.RunFor(10'000 * kMs);
  EXPECT_EQ(caller_->FinalMessages(kCall).size(), 1U);
  EXPECT_EQ(node_->exchanges().counters().undecided_confirmed, 1U);
}

TEST_F(UndecidedCallTest, IsReleasedAndToldOverInTimeWithoutEvidence) {
  SetUpCallAcrossReplacement();
  carrier_->Reset();
  PublishReplacement();
  runtime_.RunFor(7'800 * kMs);
  EXPECT_EQ(caller_->FinalMessages(kCall).size(), 2U);
  EXPECT_EQ(ReleasesOfCall(), 1U);
}

// Guards against a report of other calls that makes up for a call in question.
TEST_F(UndecidedCallTest, IsNotConfirmedByAReportOfFewerCircuitsThanCalls) {
  SetUpCallAcrossReplacement();
  carrier_->Reset();
  PublishReplacement();
  constexpr char kThirdCall[] = "9b1f03aa5c7e2d43";
  SetUpAnsweredCall(kThirdCall);
  runtime_.RunFor(1'500 * kMs);
  ReportCircuits(*exchange_.OpenConnections().back(), 1);
  runtime_.RunFor(7'000 * kMs);
  EXPECT_EQ(caller_->FinalMessages(kCall).size(), 2U);
  EXPECT_EQ(caller_->FinalMessages(kThirdCall).size(), 1U);
}

// The far end of the group may use as many circuits.
TEST_F(UndecidedCallTest, IsNotConfirmedByAReportOfAsManyCircuitsAsCalls) {
  SetUpCallAcrossReplacement();
  carrier_->Reset();
  PublishReplacement();
  runtime_.RunFor(500 * kMs);
  ReportCircuits(*exchange_.OpenConnections().back(), 1);
  runtime_.RunFor(8'000 * kMs);
  EXPECT_EQ(caller_->FinalMessages(kCall).size(), 2U);
  EXPECT_EQ(ReleasesOfCall(), 1U);
}

// Guards against a call that is told over after a restart because its exchange is not listed yet (soak seed 8005).
TEST_F(AddressSuccessionTest, CallAnnouncedBeforeItsExchangeIsListedStands) {
  PublishOldExchange();
  const std::int64_t started_ms = ReplaceProcess();
  caller_->SetUp(kCall, kNumber, std::string(";at:") + kNew);
  runtime_.RunFor(2'000 * kMs);
  EXPECT_TRUE(caller_->FinalMessages(kCall).empty());
  Publish({TargetJson(kNumber, "Ready", kNew, started_ms)});
  runtime_.RunFor(300 * kMs);
  EXPECT_TRUE(caller_->FinalMessages(kCall).empty());
  ASSERT_FALSE(exchange_.OpenConnections().empty());
  PlatformExchange::Release(*exchange_.OpenConnections().back(), kCall, 16);
  runtime_.RunFor(5 * kMs);
  ASSERT_EQ(caller_->FinalMessages(kCall).size(), 1U);
  EXPECT_EQ(caller_->FinalMessages(kCall)[0].cause, 16);
}

TEST_F(AddressSuccessionTest, CallAnnouncedAtExchangeThatIsNeverListedIsRejectedInTime) {
  caller_->SetUp(kCall, kNumber, std::string(";at:") + kNew);
  caller_->SetUp(kOtherCall, kNumber, std::string(";at:") + kNew);
  runtime_.RunFor(5 * kMs);
  caller_->Release(kOtherCall);
  runtime_.RunFor(2'900 * kMs);
  ASSERT_EQ(caller_->FinalMessages(kCall).size(), 1U);
  EXPECT_EQ(caller_->FinalMessages(kCall)[0].cause, 41);
  EXPECT_TRUE(caller_->FinalMessages(kOtherCall).empty());
}

// Guards against an end that is never told because the connection of the announcement has ended (soak seed 990000).
TEST_F(AddressSuccessionTest, CallerWithNewConnectionIsToldOfCallAtExchangeThatIsNeverListed) {
  caller_->SetUp(kCall, kNumber, std::string(";at:") + kNew);
  runtime_.RunFor(5 * kMs);
  caller_->connection.stream.reset();
  runtime_.RunFor(3'000 * kMs);
  const auto next = ConnectCaller();
  next->SetUp(kOtherCall, 1);
  runtime_.RunFor(5 * kMs);
  ASSERT_EQ(next->FinalMessages(kCall).size(), 1U);
  EXPECT_EQ(next->FinalMessages(kCall)[0].cause, 41);
}

TEST_F(AddressSuccessionTest, SetUpPendingAtSuccessorWhenItIsListedIsAnsweredAndEnds) {
  PublishOldExchange();
  const std::int64_t started_ms = ReplaceProcess();
  exchange_.on_set_up = [](PlatformConnection&, const Message&) {};
  caller_->SetUp(kCall, kNumber);
  runtime_.RunFor(5 * kMs);
  Publish({TargetJson(kNumber, "Ready", kNew, started_ms), TargetJson(kNumber, "Gone", kOld)});
  PlatformExchange::Answer(*exchange_.OpenConnections()[0], kCall, "late");
  runtime_.RunFor(5 * kMs);
  ExpectCallStandsAndItsReleaseIsForwarded();
}

// Guards against a call that was kept after a removal and is taken for one of the process that is listed again.
TEST_F(AddressSuccessionTest, CallOfRemovedExchangeEndsWhenItIsListedWithANewStart) {
  PublishOldExchange();
  SetUpAnsweredCall(kCall);
  Publish({TargetJson(kNumber, "Gone", kOld)});
  Publish({TargetJson(kNumber, "Ready", kOld, UnixMs())});
  ASSERT_EQ(caller_->FinalMessages(kCall).size(), 2U);
  EXPECT_EQ(caller_->FinalMessages(kCall)[1].cause, 41);
}

// Guards against a set-up that waits for its connection and reaches another exchange at the address.
TEST_F(AddressSuccessionTest, SetUpThatWaitsForItsConnectionIsNotSentToSuccessor) {
  PublishOldExchange();
  exchange_.on_set_up = [](PlatformConnection&, const Message&) {};
  caller_->SetUp(kOtherCall, kNumber);  // occupies the open connection
  runtime_.RunFor(5 * kMs);
  exchange_.is_accepting = false;
  caller_->SetUp(kCall, kNumber);
  runtime_.RunFor(5 * kMs);
  json successor = TargetJson(kNumber, "Ready", kNew, UnixMs());
  successor["pod_group"] = kNumber + 1;
  Publish({TargetJson(kNumber, "Gone", kOld), successor});
  exchange_.is_accepting = true;
  runtime_.RunFor(1'000 * kMs);
  for (const Message& set_up : exchange_.Received(MessageType::kSetUp)) EXPECT_NE(set_up.id, kCall);
  EXPECT_EQ(caller_->FinalMessages(kCall).size(), 1U);
}

// Guards against an exchange that is passed over for one which the same list removes.
TEST_F(AddressSuccessionTest, WholeListReplacesExchangeByOneWithEarlierStart) {
  Publish({TargetJson(kNumber, "Ready", kOld, UnixMs())});
  PublishList({TargetJson(kNumber, "Ready", kNew)});
  EXPECT_EQ(node_->exchanges().Find(kOld), 0U);
  SetUpAnsweredCall(kCall);
}

// Guards against an exchange that is passed over because the clock of its predecessor was ahead.
TEST_F(AddressSuccessionTest, SuccessorIsUsedIfItsStartIsStatedBeforeThatOfItsPredecessor) {
  for (const bool start_first : {false, true}) {
    SCOPED_TRACE(start_first);
    const std::string old = start_first ? "s-old-1" : "s-old-0", newer = start_first ? "s-new-1" : "s-new-0";
    Publish({TargetJson(kNumber, "Ready", old, UnixMs())});
    std::vector<json> changes{TargetJson(kNumber, "Gone", old, UnixMs()),
                              TargetJson(kNumber, "Ready", newer, UnixMs() - 300)};
    if (start_first) std::swap(changes[0], changes[1]);
    Publish(changes);
    EXPECT_NE(node_->exchanges().Find(newer), 0U);
    EXPECT_EQ(node_->exchanges().Find(old), 0U);
    Publish({TargetJson(kNumber, "Gone", newer, UnixMs())});
  }
}

TEST_F(AddressSuccessionTest, ExchangeThatStartsAgainTakesItsAddressBack) {
  PublishOldExchange();
  Publish({TargetJson(kNumber, "Ready", kNew, UnixMs())});
  runtime_.RunFor(10 * kMs);
  Publish({TargetJson(kNumber, "Ready", kOld, UnixMs())});
  EXPECT_NE(node_->exchanges().Find(kOld), 0U);
  EXPECT_EQ(node_->exchanges().Find(kNew), 0U);
  SetUpAnsweredCall(kCall);
}

}  // namespace
}  // namespace croftrun::platform
