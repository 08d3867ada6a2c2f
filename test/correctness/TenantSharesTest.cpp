// Guards against a tenant that takes the slots or the queue of a target from
// others of the same priority, and against changes where there are no tenants.
#include "TenantShares.h"
#include "AdmissionSlots.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace sycamore;

namespace {

/// A target with one slot that is always taken while requests wait.
struct SharedTarget {
  Admission Table_;
  TimePoint Now_{seconds(100)};
  std::uint64_t NextId_ = 1;
  std::map<std::uint64_t, AdmissionRequest> Requests_;
  std::map<std::string, Duration> Work_; ///< Started, by tenant.
  std::map<std::string, int> Refused_;

  explicit SharedTarget(std::uint32_t QueueLimit = 1000) {
    setSlots(Table_, 1);
    setQueueLimit(Table_, QueueLimit);
  }

  AdmissionRequest request(const std::string &Tenant,
                           Duration Expected = milliseconds(10),
                           std::uint32_t Priority = 0) {
    AdmissionRequest Out;
    Out.Id_ = NextId_++;
    Out.Tenant_ = Tenant;
    Out.Expected_ = Expected;
    Out.Priority_ = Priority;
    Out.Deadline_ = Now_ + seconds(30);
    Requests_[Out.Id_] = Out;
    return Out;
  }

  AdmissionDecision offer(const AdmissionRequest &Request) {
    AdmissionVerdict Verdict = admit(Table_, Request, Now_);
    if (Verdict.Decision_ == AdmissionDecision::Refused)
      ++Refused_[Request.Tenant_];
    return Verdict.Decision_;
  }

  /// Ends the running request; returns the tenant that runs next.
  std::string step() {
    if (!Table_.Running_.empty()) {
      RunningRequest Done = Table_.Running_.front();
      Now_ += Done.Request_.Expected_;
      finish(Table_, Done.Request_.Id_, Done.Request_.Expected_, Now_);
    }
    std::vector<std::uint64_t> Run;
    std::vector<std::uint64_t> Refused;
    dequeueRunnable(Table_, Now_, Run, Refused);
    for (std::uint64_t Id : Refused)
      ++Refused_[Requests_[Id].Tenant_];
    if (Run.empty())
      return "none";
    const AdmissionRequest &Started = Requests_[Run.front()];
    Work_[Started.Tenant_] += Started.Expected_;
    return Started.Tenant_;
  }
};

} // namespace

TEST(TenantShares, AFloodOfOneTenantDoesNotDelayAnother) {
  SharedTarget Target;
  for (int I = 0; I < 101; ++I)
    Target.offer(Target.request("flood"));
  for (int I = 0; I < 3; ++I)
    Target.offer(Target.request("calm"));
  int Calm = 0;
  for (int I = 0; I < 6; ++I)
    Calm += Target.step() == "calm" ? 1 : 0;
  EXPECT_EQ(Calm, 3);
}

TEST(TenantShares, TenantsShareByExpectedWorkAndNotByRequests) {
  SharedTarget Target;
  for (int I = 0; I < 200; ++I) {
    Target.offer(Target.request("long", milliseconds(40)));
    Target.offer(Target.request("short", milliseconds(10)));
  }
  for (int I = 0; I < 100; ++I)
    Target.step();
  Duration Long = Target.Work_["long"];
  Duration Short = Target.Work_["short"];
  EXPECT_LE(Long, Short + milliseconds(40));
  EXPECT_LE(Short, Long + milliseconds(40));
}

TEST(TenantShares, AMoreUrgentPriorityStillRunsFirst) {
  SharedTarget Target;
  Target.offer(Target.request("other"));
  for (int I = 0; I < 4; ++I) {
    Target.offer(Target.request("late", milliseconds(10), 5));
    Target.offer(Target.request("urgent", milliseconds(10), 1));
  }
  for (int I = 0; I < 4; ++I)
    EXPECT_EQ(Target.step(), "urgent");
  EXPECT_EQ(Target.step(), "late");
}

TEST(TenantShares, OneTenantCannotFillTheQueue) {
  SharedTarget Target(20);
  for (int I = 0; I < 100; ++I)
    Target.offer(Target.request("flood"));
  for (int I = 0; I < 8; ++I)
    EXPECT_EQ(Target.offer(Target.request("calm")), AdmissionDecision::Queued);
  int Calm = 0;
  for (int I = 0; I < 16; ++I)
    Calm += Target.step() == "calm" ? 1 : 0;
  EXPECT_EQ(Calm, 8);
  EXPECT_EQ(Target.Refused_["calm"], 0);
}

// Otherwise its requests would be refused as too late for a queue that they do
// not have to wait for.
TEST(TenantShares, TheExpectedWaitLeavesOutWorkThatRunsLater) {
  SharedTarget Target;
  for (int I = 0; I < 501; ++I)
    Target.offer(Target.request("flood"));
  AdmissionRequest Calm = Target.request("calm");
  Calm.Deadline_ = Target.Now_ + milliseconds(60);
  EXPECT_EQ(Target.offer(Calm), AdmissionDecision::Queued);
  AdmissionRequest Flood = Target.request("flood");
  Flood.Deadline_ = Target.Now_ + seconds(1);
  EXPECT_EQ(Target.offer(Flood), AdmissionDecision::Queued);
  EXPECT_TRUE(Target.step() == "calm" || Target.step() == "calm");
}

TEST(TenantShares, ATenantThatComesBackHasNoCreditForItsAbsence) {
  SharedTarget Target;
  for (int I = 0; I < 101; ++I)
    Target.offer(Target.request("steady"));
  for (int I = 0; I < 50; ++I)
    Target.step();
  for (int I = 0; I < 100; ++I)
    Target.offer(Target.request("back"));
  int Steady = 0;
  for (int I = 0; I < 20; ++I)
    Steady += Target.step() == "steady" ? 1 : 0;
  EXPECT_EQ(Steady, 10);
}

RC_GTEST_PROP(TenantShares, WithoutTenantsTheQueueIsAsBefore, ()) {
  auto Costs = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 200));
  SharedTarget Target(20);
  for (int Each : Costs) {
    AdmissionRequest Request = Target.request(
        "", milliseconds(Each), static_cast<std::uint32_t>(Each % 3));
    Request.Deadline_ = Target.Now_ + milliseconds(Each * 37 % 3000 + 500);
    Target.offer(Request);
    if (Each % 4 == 0)
      Target.step();
  }
  RC_ASSERT(Target.Table_.TenantWork_.empty());
  std::vector<QueuedRequest> Before = Target.Table_.Queue_;
  shareQueue(Target.Table_, Target.Now_);
  for (std::size_t I = 0; I < Before.size(); ++I)
    RC_ASSERT(Before[I].Request_.Id_ == Target.Table_.Queue_[I].Request_.Id_);
  AdmissionRequest Next = Target.request("");
  RC_ASSERT(sharedWorkBefore(Target.Table_, Next, Target.Now_) == Duration(0));
  RC_ASSERT(lastOfLargestTenant(Target.Table_, Next, Target.Now_) ==
            Target.Table_.Queue_.end());
}
