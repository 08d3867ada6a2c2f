// Reads typed fields of a settings document, for the settings parsers.
#pragma once

#include "sycamore/Settings.h"

#include <functional>

namespace sycamore {

/// Reads one object of a settings document, and collects its problems and the
/// paths of the fields that the parser reads.
class SettingsReader {
public:
  /// If Fields_ is set, the parser also visits absent sections, and the path of
  /// every field that it reads is added to Fields_.
  struct Context {
    std::vector<std::string> Problems_;
    std::vector<std::string> *Fields_ = nullptr;
  };

  SettingsReader(const Json &Value, const std::string &Path,
                 const std::string &FieldPath, Context &ParseContext);

  using Section = std::function<void(SettingsReader &)>;

  void require(std::string_view Field);
  void string(std::string_view Field, std::string &Out);
  void flag(std::string_view Field, bool &Out);
  void integer(std::string_view Field, std::uint64_t &Out, std::uint64_t Min,
               std::uint64_t Max);
  void number(std::string_view Field, double &Out, double Min, double Max);
  /// Reads a name, with the same characters as in tickets; if Required, reports
  /// its absence.
  void name(std::string_view Field, std::string &Out, bool Required);
  void address(std::string_view Field, std::string &Out, bool AllowPortZero);
  void addresses(std::string_view Field, std::vector<std::string> &Out);
  /// Reads a file path, which must not be empty.
  void file(std::string_view Field, std::string &Out);
  void oneOf(std::string_view Field, std::string &Out,
             const std::vector<std::string> &Allowed);
  /// Reads a non-empty array of distinct strings, each one of Allowed.
  void subsetOf(std::string_view Field, std::vector<std::string> &Out,
                const std::vector<std::string> &Allowed);
  /// Reads an array of distinct HTTP statuses from 400 to 599.
  void errorStatuses(std::string_view Field, std::vector<std::uint32_t> &Out);
  template <typename Unit>
  void duration(std::string_view Field, Unit &Out, std::uint64_t Min,
                std::uint64_t Max) {
    auto Value = static_cast<std::uint64_t>(Out.count());
    integer(Field, Value, Min, Max);
    Out = Unit(static_cast<typename Unit::rep>(Value));
  }

  /// Calls Read on the object in Field; returns whether it is present.
  bool section(std::string_view Field, const Section &Read);
  /// Calls Read on each object of the array in Field.
  void forEachObject(std::string_view Field, const Section &Read);

  const Json *find(std::string_view Field);
  void reportProblem(std::string_view Field, std::string_view What);
  /// Reports fields that the parser has not read; must be called last.
  void reportUnknownFields() { Object_.reportUnknownFields(); }

private:
  void recordField(std::string_view Field);
  std::string joinPath(const std::string &Path, std::string_view Field) const;

  ObjectReader Object_;
  std::string FieldPath_;
  Context &Context_;
};

/// Sections that the settings of the daemon and of operators share.
void readStoreSettings(SettingsReader &Reader, StoreSettings &Out);
void readOperators(SettingsReader &Reader, std::vector<OperatorEntry> &Out,
                   bool &RequireSecond);

/// Runs a parser on an empty document and returns the paths of the fields that
/// it reads.
std::vector<std::string> listFields(const SettingsReader::Section &Read);

/// Combines the errors of checkKeyFile() for these files into one.
std::optional<Error> checkKeyFiles(const std::vector<std::string> &Paths);

/// Reads a file, runs Parse on it, and checks the key files whose paths
/// KeyFiles returns.
template <typename T>
Result<T> loadSettingsFile(const std::string &Path,
                           Result<T> (*Parse)(const Json &, std::string_view),
                           std::vector<std::string> (*KeyFiles)(const T &)) {
  auto Document = parseJsonFile(Path);
  if (!Document)
    return tl::unexpected<Error>(Document.error());
  auto Out = Parse(*Document, Path);
  if (!Out)
    return Out;
  if (auto Failure = checkKeyFiles(KeyFiles(*Out)))
    return tl::unexpected<Error>(*Failure);
  return Out;
}

} // namespace sycamore
