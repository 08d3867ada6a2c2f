// Test-only switches, each of which disables one rule of the call modules, to
// show that a test detects the fault. Nothing outside test/ sets the variable.
// test/mutations-calls.txt lists the switches with their test commands.
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
  PassOnRefusals,
};

// Not const: tests set it before a run.
inline CallMutation ActiveCallMutation = CallMutation::None;

inline bool mutationEnabled(CallMutation Mutation) {
  return ActiveCallMutation == Mutation;
}

} // namespace sycamore
