// Test-only switches that break one rule of the call modules each, to show that
// a test notices. Nothing outside test/ sets the variable. The list with test
// commands is test/mutations-calls.txt.
#pragma once

namespace sycamore {

enum class CallMutation {
  None,
  RetryInDoubt,
  RestartedDaemonVouches,
  AnyIncarnationAnswers,
  NoBodyCheck,
  NoTombstone,
  NoLowWaterMark,
  ExpiredWithoutRecord,
  NoDuplicateCheck,
  IgnorePause,
  BorderWithoutAllowance,
  LeaseFromAnswer,
  TakeoverFromRequest,
  UnknownForgetsKey,
  NoRequestHash,
  NoAgeLimit,
  HandoverWithoutFence,
  AcceptWhileHandingOver,
  LapsedIsSettled,
  StaleTime,
};

// Not const: tests set it before a run.
inline CallMutation ActiveCallMutation = CallMutation::None;

inline bool mutated(CallMutation Which) { return ActiveCallMutation == Which; }

} // namespace sycamore
