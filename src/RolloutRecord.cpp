// State of a roll-out as the store holds it.
#include "RolloutRecord.h"

#include "sycamore/Json.h"

namespace sycamore {

std::string rolloutKey(std::string_view Service) {
  return std::string(StoreKeyPrefix) + "rollouts/" + std::string(Service);
}

std::string encodeRolloutRecord(const RolloutRecord &Record) {
  const wire::RolloutState &State = Record.State_;
  return Json{{"service", State.service()},
              {"target_version", State.target_version()},
              {"order_revision", State.order_revision()},
              {"step", State.step()},
              {"share_permille", State.share_permille()},
              {"phase", static_cast<int>(State.phase())},
              {"holder", State.holder()},
              {"ordered_unix_ms", Record.OrderedUnixMs_},
              {"published", Record.Published_}}
      .dump();
}

Result<RolloutRecord> parseRolloutRecord(std::string_view Text) {
  auto Root = parseJson(Text, "state of a roll-out");
  if (!Root)
    return tl::unexpected<Error>(Root.error());
  RolloutRecord Out;
  std::vector<std::string> Problems;
  ObjectReader Reader(*Root, "", Problems);
  std::string Service;
  std::string Version;
  std::string Holder;
  std::uint64_t Revision = 0;
  std::uint64_t Step = 0;
  std::uint64_t Share = 0;
  std::uint64_t Phase = 0;
  std::uint64_t Ordered = 0;
  for (std::string_view Field : {"service", "target_version", "order_revision",
                                 "step", "share_permille", "phase"})
    Reader.require(Field);
  Reader.readString("service", Service);
  Reader.readString("target_version", Version);
  Reader.readString("holder", Holder);
  Reader.readUnsigned("order_revision", Revision, 0, INT64_MAX);
  Reader.readUnsigned("step", Step, 0, INT64_MAX);
  Reader.readUnsigned("share_permille", Share, 0, FullSharePermille);
  Reader.readUnsigned("phase", Phase, 0, wire::RolloutPhase_MAX);
  Reader.readUnsigned("ordered_unix_ms", Ordered, 0, INT64_MAX);
  Reader.readBool("published", Out.Published_);
  if (auto Failure =
          problemsToError(ErrorKind::InvalidData, "state of a roll-out",
                          Problems, "delete the key to begin anew"))
    return tl::unexpected<Error>(*Failure);
  Out.State_.set_service(Service);
  Out.State_.set_target_version(Version);
  Out.State_.set_order_revision(static_cast<std::int64_t>(Revision));
  Out.State_.set_step(Step);
  Out.State_.set_share_permille(static_cast<std::uint32_t>(Share));
  Out.State_.set_phase(static_cast<wire::RolloutPhase>(Phase));
  Out.State_.set_holder(Holder);
  Out.OrderedUnixMs_ = static_cast<std::int64_t>(Ordered);
  return Out;
}

} // namespace sycamore
