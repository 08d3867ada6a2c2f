// Encodes and parses seeds.
#include "Seeds.h"

namespace sycamore {

std::string encodeSeeds(std::span<const wire::ServerRecord> Seeds) {
  Json Out = Json::array();
  for (const wire::ServerRecord &Seed : Seeds)
    Out.push_back({{"name", Seed.name()},
                   {"data_centre", Seed.data_centre()},
                   {"peer_address", Seed.peer_address()},
                   {"public_key", Seed.public_key()}});
  return Out.dump();
}

std::vector<wire::ServerRecord> parseSeeds(const KeyValue &Entry) {
  std::vector<wire::ServerRecord> Out;
  auto Document = parseJson(Entry.Value_, Entry.Key_);
  if (!Document || !Document->is_array())
    return Out;
  for (const Json &Item : *Document) {
    std::vector<std::string> Problems;
    ObjectReader Reader(Item, "", Problems);
    wire::ServerRecord Seed;
    Reader.readString("name", *Seed.mutable_name());
    Reader.readString("data_centre", *Seed.mutable_data_centre());
    Reader.readString("peer_address", *Seed.mutable_peer_address());
    Reader.readString("public_key", *Seed.mutable_public_key());
    if (Problems.empty() && isValidName(Seed.name()) &&
        parseSocketAddress(Seed.peer_address()))
      Out.push_back(std::move(Seed));
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
