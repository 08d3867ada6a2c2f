// Encodes and parses seeds.
#include "Seeds.h"

namespace sycamore {
namespace {

Result<wire::ServerRecord> parseSeed(std::string_view Text,
                                     const std::string &Source) {
  auto Document = parseJson(Text, Source);
  if (!Document)
    return tl::unexpected(Document.error());
  std::vector<std::string> Problems;
  ObjectReader Reader(*Document, "", Problems);
  wire::ServerRecord Out;
  Reader.readString("name", *Out.mutable_name());
  Reader.readString("data_centre", *Out.mutable_data_centre());
  Reader.readString("peer_address", *Out.mutable_peer_address());
  Reader.readString("public_key", *Out.mutable_public_key());
  std::uint64_t LinkMbps = 0;
  Reader.readUnsigned("link_mbps", LinkMbps, 0, UINT32_MAX);
  Out.set_link_mbps(static_cast<std::uint32_t>(LinkMbps));
  if (Problems.empty() && !isValidName(Out.name()))
    Reader.reportProblem("name", "is not a name");
  if (Problems.empty() && !parseRemoteAddress(Out.peer_address()))
    Reader.reportProblem("peer_address", "is not IP:PORT");
  if (auto Failure =
          problemsToError(ErrorKind::InvalidData, Source, Problems,
                          "remove the entry; a reader writes the seeds anew"))
    return tl::unexpected<Error>(*Failure);
  return Out;
}

} // namespace

std::string encodeSeeds(std::span<const wire::ServerRecord> Seeds) {
  Json Out = Json::array();
  for (const wire::ServerRecord &Seed : Seeds)
    Out.push_back({{"name", Seed.name()},
                   {"data_centre", Seed.data_centre()},
                   {"peer_address", Seed.peer_address()},
                   {"public_key", Seed.public_key()},
                   {"link_mbps", Seed.link_mbps()}});
  return Out.dump();
}

std::vector<wire::ServerRecord> parseSeeds(const KeyValue &Entry,
                                           std::vector<std::string> &Problems) {
  std::vector<wire::ServerRecord> Out;
  auto Elements = arrayElements(Entry.Value_);
  if (!Elements) {
    Problems.push_back(Entry.Key_ + ": not an array");
    return Out;
  }
  for (std::string_view Element : *Elements) {
    auto Seed = parseSeed(Element, Entry.Key_);
    if (Seed)
      Out.push_back(std::move(*Seed));
    else
      Problems.push_back(describe(Seed.error()));
  }
  return Out;
}

RangeRequest seedsRange() {
  std::string Prefix = seedsKey("");
  RangeRequest Out;
  Out.Key_ = Prefix;
  Out.RangeEnd_ = prefixEnd(Prefix);
  return Out;
}

std::vector<wire::ServerRecord> bootstrapRecords(const Settings &Config) {
  std::vector<wire::ServerRecord> Out;
  for (const BootstrapPeer &Peer : Config.BootstrapPeers_) {
    wire::ServerRecord Record;
    Record.set_name(Peer.Name_);
    Record.set_data_centre(Peer.DataCentre_);
    Record.set_peer_address(Peer.PeerAddress_);
    Record.set_public_key(Peer.PublicKey_);
    Out.push_back(std::move(Record));
  }
  return Out;
}

} // namespace sycamore
