#include "gypsumfall/contract/internal/parse.h"

#include <algorithm>
#include <cctype>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gypsumfall/contract/internal/limit_table.h"
#include "gypsumfall/contract/internal/validation.h"

namespace gypsumfall {
namespace {

using enum Presence;

// Bound the cost of a call: authentication compares against every digest, and
// a lookup scans all kinds.
constexpr std::size_t kMaxKeyDigests = 16;
constexpr std::size_t kMaxKinds = 256;
constexpr std::size_t kDigestLength = 64;

// The upper bounds are far above the size of any deployment and prevent sums
// from overflowing.
constexpr Range<std::int64_t> kCountRange{0, 10'000'000};
constexpr Range<MilliCores> kCpuRange{MilliCores(0), MilliCores(1'000'000'000)};
constexpr Range<MebiBytes> kMemoryRange{MebiBytes(0), MebiBytes(1 << 30)};
constexpr Range<MilliCores> kKindCpuRange{MilliCores(1), kCpuRange.max};
constexpr Range<MebiBytes> kKindMemoryRange{MebiBytes(1), kMemoryRange.max};
constexpr Range<Duration> kDeadlineRange{milliseconds(1),
                                         std::chrono::minutes(10)};
// An owner confirms its row every 2 s; a limit of less than a few of these
// periods would stop tasks after a single late answer.
constexpr Range<Duration> kRunWithoutContactRange{seconds(10),
                                                  kMaxRunWithoutContact};

auto InRange(auto parse, auto range) {
  return [parse, range](std::string_view text) { return parse(text, range); };
}

ParsedValue<WorkShape> ParseShape(std::string_view text) {
  if (text == "request") return WorkShape::kRequest;
  if (text == "task") return WorkShape::kTask;
  return tl::unexpected(Quote(text) +
                        " is not a shape; write request for work that is "
                        "answered inline, or task for work that is queued");
}

ParsedValue<UrgencyClass> ParseUrgency(std::string_view text) {
  for (const auto urgency :
       {UrgencyClass::kUrgent, UrgencyClass::kNormal, UrgencyClass::kPatient}) {
    if (text == UrgencyClassName(urgency)) return urgency;
  }
  return tl::unexpected(Quote(text) +
                        " is not an urgency; write urgent, normal or patient");
}

// The error message omits the text, because it may be the key itself.
ParsedValue<std::string> ParseDigest(std::string_view text) {
  std::string digest(text);
  const bool valid =
      digest.size() == kDigestLength &&
      std::all_of(digest.begin(), digest.end(), [](unsigned char letter) {
        return std::isxdigit(letter) != 0;
      });
  if (!valid) {
    return tl::unexpected(std::string(
        "a digest has 64 hexadecimal digits; write what \"gypsumfall key "
        "digest\" prints, not the key"));
  }
  for (char& letter : digest) {
    if (letter >= 'A' && letter <= 'F') letter += 'a' - 'A';
  }
  return digest;
}

std::string_view TrimSpaces(std::string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
  return text;
}

// Parses a comma-separated list and appends its digests.
ParsedValue<void> ParseDigestList(std::string_view text,
                                  std::vector<std::string>& digests) {
  while (true) {
    const std::size_t comma = std::min(text.find(','), text.size());
    auto digest = ParseDigest(TrimSpaces(text.substr(0, comma)));
    if (!digest) return tl::unexpected(std::move(digest.error()));
    if (std::find(digests.begin(), digests.end(), *digest) != digests.end()) {
      return tl::unexpected(
          std::string("the same digest is given twice; remove one"));
    }
    if (digests.size() == kMaxKeyDigests) {
      return tl::unexpected("there are more than " +
                            std::to_string(kMaxKeyDigests) +
                            " digests; remove those of old keys");
    }
    digests.push_back(*std::move(digest));
    if (comma == text.size()) return {};
    text.remove_prefix(comma + 1);
  }
}

std::vector<Field> CustomerFields(Contract& contract) {
  auto add = [&contract](std::string_view text) {
    return ParseDigestList(text, contract.key_digests);
  };
  return {MakeField("id", kRequired, contract.customer, ParseId, "acme"),
          {"key_digest", kRepeated, add, "<output of gypsumfall key digest>"}};
}

std::vector<Field> LimitFields(Limits& limits, Presence resources) {
  std::vector<Field> fields = {
      MakeField("cpu", resources, limits.resources.cpu,
                InRange(ParseMilliCores, kCpuRange), "4cores"),
      MakeField("memory", resources, limits.resources.memory,
                InRange(ParseMebiBytes, kMemoryRange), "8GiB"),
      MakeField("accelerators", kOptional, limits.resources.accelerators,
                InRange(ParseInteger, kCountRange)),
  };
  for (const LimitDescriptor& descriptor : kLimitDescriptors) {
    fields.push_back(MakeField(std::string(descriptor.key), kOptional,
                               limits.*descriptor.member,
                               InRange(ParseInteger, kCountRange)));
  }
  return fields;
}

std::vector<Field> KindFields(KindSpec& spec) {
  return {
      MakeField("shape", kRequired, spec.shape, ParseShape, "request"),
      MakeField("idempotent", kOptional, spec.idempotent, ParseBool),
      MakeField("resumable", kOptional, spec.resumable, ParseBool),
      MakeField("cpu", kRequired, spec.resources.cpu,
                InRange(ParseMilliCores, kKindCpuRange), "500m"),
      MakeField("memory", kRequired, spec.resources.memory,
                InRange(ParseMebiBytes, kKindMemoryRange), "256MiB"),
      MakeField("accelerators", kOptional, spec.resources.accelerators,
                InRange(ParseInteger, kCountRange)),
      MakeField("urgency", kOptional, spec.urgency, ParseUrgency),
      MakeField("deadline", kOptional, spec.deadline,
                InRange(ParseDuration, kDeadlineRange)),
      MakeField("run_without_contact", kOptional, spec.run_without_contact,
                InRange(ParseDuration, kRunWithoutContactRange)),
  };
}

class ContractParser {
 public:
  explicit ContractParser(IniDocument document)
      : document_(std::move(document)), diagnostics_(document_.diagnostics) {}

  Parsed<Contract> Parse() && {
    ReadAllSections();
    // A value that failed to parse would cause misleading follow-up
    // diagnostics.
    if (diagnostics_.empty())
      ValidateCrossFieldConstraints(draft_, document_.file, diagnostics_);
    if (diagnostics_.empty()) return std::move(draft_.contract);
    SortDiagnostics(diagnostics_);
    return tl::unexpected(std::move(diagnostics_));
  }

 private:
  void ReadAllSections() {
    Contract& contract = draft_.contract;
    const std::vector<SectionRule> rules = {
        {"customer", false,
         [&](const IniSection& section) {
           ReadSectionFields(section, CustomerFields(contract));
         }},
        {"guaranteed", false,
         [&](const IniSection& section) {
           draft_.guaranteed = section;
           ReadSectionFields(section,
                             LimitFields(contract.guaranteed, kOptional));
         }},
        {"ceiling", false,
         [&](const IniSection& section) { ReadCeilingSection(section); }},
        {"kind", true,
         [&](const IniSection& section) { ReadKindSection(section); }},
    };
    ReadSections(document_, rules, diagnostics_);
  }

  void ReadSectionFields(const IniSection& section,
                         const std::vector<Field>& fields) {
    ReadFields(section, fields, document_.file, diagnostics_);
  }

  void ReadCeilingSection(const IniSection& section) {
    Limits& ceiling = draft_.contract.ceiling;
    draft_.ceiling = section;
    ReadSectionFields(section, LimitFields(ceiling, kRequired));
    if (!section.Has("burst")) ceiling.burst = ceiling.requests_per_second;
  }

  void ReadKindSection(const IniSection& section) {
    if (draft_.kinds.size() == kMaxKinds) {
      AddDiagnostic(diagnostics_, document_.file, section.line,
                    "there are more than " + std::to_string(kMaxKinds) +
                        " kinds; remove those that are not used");
      return;
    }
    KindSpec spec;
    spec.kind = KindId(section.label);
    ReadSectionFields(section, KindFields(spec));
    ApplyKindDefaults(section, spec);
    draft_.kinds.push_back(section);
    draft_.contract.kinds.push_back(std::move(spec));
  }

  static void ApplyKindDefaults(const IniSection& section, KindSpec& spec) {
    if (spec.shape == WorkShape::kRequest && !section.Has("deadline")) {
      spec.deadline = kDefaultDeadline;
    }
    if (spec.shape == WorkShape::kTask && !section.Has("run_without_contact")) {
      spec.run_without_contact = kDefaultRunWithoutContact;
    }
  }

  IniDocument document_;
  std::vector<Diagnostic> diagnostics_;
  ContractDraft draft_;
};

}  // namespace

Parsed<Contract> ParseContract(std::string_view text, std::string_view file) {
  return ContractParser(ParseIni(text, file)).Parse();
}

}  // namespace gypsumfall
