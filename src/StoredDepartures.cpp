// Encodes and parses departed targets in the store.
#include "StoredDepartures.h"

#include "sycamore/Json.h"

namespace sycamore {

Put storeDeparture(const StoredDeparture &Departure) {
  const wire::DepartedTarget &Target = Departure.Target_;
  std::string Started = std::to_string(Target.started_unix_ms());
  std::int64_t Recorded =
      std::chrono::floor<milliseconds>(Departure.RecordedAt_)
          .time_since_epoch()
          .count();
  Json Value = {{"server", Target.server()},
                {"name", Target.name()},
                {"started_unix_ms", Target.started_unix_ms()},
                {"recorded_unix_ms", Recorded}};
  return {departuresPrefix() + Target.server() + "/" + Target.name() + "/" +
              Started,
          Value.dump(), 0};
}

Result<StoredDeparture> parseStoredDeparture(const KeyValue &Entry) {
  auto Document = parseJson(Entry.Value_, Entry.Key_);
  if (!Document)
    return tl::unexpected(Document.error());
  std::vector<std::string> Problems;
  ObjectReader Reader(*Document, "", Problems);
  StoredDeparture Out;
  std::uint64_t Started = 0;
  std::uint64_t Recorded = 0;
  for (std::string_view Field :
       {"server", "name", "started_unix_ms", "recorded_unix_ms"})
    Reader.require(Field);
  Reader.readString("server", *Out.Target_.mutable_server());
  Reader.readString("name", *Out.Target_.mutable_name());
  Reader.readUnsigned("started_unix_ms", Started, 0, INT64_MAX);
  constexpr std::uint64_t MaxUnixMs = INT64_MAX / 1000;
  Reader.readUnsigned("recorded_unix_ms", Recorded, 0, MaxUnixMs);
  if (auto Failure =
          problemsToError(ErrorKind::InvalidData, Entry.Key_, Problems,
                          "remove the entry; a reader does so after 10 min"))
    return tl::unexpected<Error>(*Failure);
  Out.Target_.set_started_unix_ms(static_cast<std::int64_t>(Started));
  Out.RecordedAt_ =
      WallTime(milliseconds(static_cast<milliseconds::rep>(Recorded)));
  return Out;
}

} // namespace sycamore
