// Keys of the store and blocking store calls.
#include "sycamore/Store.h"

#include <optional>

namespace sycamore {
namespace {

template <typename T, typename Call>
Result<T> await(const std::function<void()> &Pump, Call Start) {
  auto Response = std::make_shared<std::optional<Result<T>>>();
  Start(
      [Response](Result<T> Outcome) { Response->emplace(std::move(Outcome)); });
  while (!Response->has_value())
    Pump();
  return std::move(**Response);
}

/// Pads the number with zeros, so that keys sort in numeric order.
std::string numberedKey(std::string_view Directory, std::uint64_t Number) {
  constexpr std::size_t Digits = 12;
  std::string Text = std::to_string(Number);
  if (Text.size() < Digits)
    Text.insert(0, Digits - Text.size(), '0');
  return std::string(StoreKeyPrefix) + std::string(Directory) + "/" + Text;
}

} // namespace

Result<RangeResult> BlockingStoreClient::range(const RangeRequest &Request) {
  return await<RangeResult>(Pump_, [&](StoreCallback<RangeResult> Done) {
    Store_.range(Request, Deadline_, std::move(Done));
  });
}

Result<TxnResult> BlockingStoreClient::txn(const Txn &Request) {
  return await<TxnResult>(Pump_, [&](StoreCallback<TxnResult> Done) {
    Store_.txn(Request, Deadline_, std::move(Done));
  });
}

std::string prefixEnd(std::string Prefix) {
  while (!Prefix.empty()) {
    auto Last = static_cast<unsigned char>(Prefix.back());
    if (Last < 0xff) {
      Prefix.back() = static_cast<char>(Last + 1);
      return Prefix;
    }
    Prefix.pop_back();
  }
  return std::string(1, '\0');
}

std::string headKey() { return std::string(StoreKeyPrefix) + "head"; }

std::string ticketKey(std::uint64_t Number) {
  return numberedKey("tickets", Number);
}

std::string snapshotKey(std::uint64_t Number) {
  return numberedKey("snapshots", Number);
}

std::string seedsKey(std::string_view DataCentre) {
  return std::string(StoreKeyPrefix) + "seeds/" + std::string(DataCentre);
}

std::string departuresPrefix() { return seedsKey("departures/"); }

std::string bucketKey(std::uint32_t Bucket) {
  return std::string(StoreKeyPrefix) + "buckets/" + std::to_string(Bucket);
}

} // namespace sycamore
