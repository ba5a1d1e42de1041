#include "gypsumfall/ownership/internal/rows.h"

#include <boost/json.hpp>
#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace gypsumfall {
namespace {

namespace json = boost::json;

constexpr std::string_view kHostPrefix = "host/";
constexpr std::string_view kPartitionPrefix = "part/";
constexpr std::string_view kTaskPartitionPrefix = "task-";

int ParseNumber(std::string_view text) {
  int number = -1;
  const char* end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, number);
  return error == std::errc() && last == end ? number : -1;
}

// Reads the fields of a JSON object. A missing or mistyped field makes valid()
// return false.
class Fields {
 public:
  explicit Fields(std::string_view text) {
    json::error_code error;
    value_ = json::parse(text, error);
    valid_ = !error && value_.is_object();
  }

  std::uint64_t Number(std::string_view name) {
    const json::value* field = Find(name);
    json::error_code error;
    const auto number =
        field ? field->to_number<std::uint64_t>(error) : std::uint64_t{0};
    if (error) valid_ = false;
    return number;
  }

  std::string Text(std::string_view name) {
    const json::value* field = Find(name);
    if (field && field->is_string()) return std::string(field->get_string());
    valid_ = false;
    return {};
  }

  bool Flag(std::string_view name) {
    const json::value* field = Find(name);
    if (field && field->is_bool()) return field->get_bool();
    valid_ = false;
    return false;
  }

  bool valid() const { return valid_; }

 private:
  const json::value* Find(std::string_view name) {
    const json::object* object = value_.if_object();
    const json::value* field = object ? object->if_contains(name) : nullptr;
    if (!field) valid_ = false;
    return field;
  }

  json::value value_;
  bool valid_ = false;
};

}  // namespace

std::string HostRowKey(const EntryHostId& host) {
  return std::string(kHostPrefix) + host.str();
}

EntryHostId HostOfRowKey(std::string_view key) {
  if (!key.starts_with(kHostPrefix)) return {};
  return EntryHostId(std::string(key.substr(kHostPrefix.size())));
}

PartitionId TaskPartitionId(int number) {
  return PartitionId(std::string(kTaskPartitionPrefix) +
                     std::to_string(number));
}

int TaskPartitionNumber(const PartitionId& partition) {
  const std::string_view text = partition.str();
  if (!text.starts_with(kTaskPartitionPrefix)) return -1;
  return ParseNumber(text.substr(kTaskPartitionPrefix.size()));
}

std::string PartitionRowKey(const PartitionId& partition) {
  return std::string(kPartitionPrefix) +
         std::to_string(TaskPartitionNumber(partition));
}

PartitionId PartitionOfRowKey(std::string_view key) {
  if (!key.starts_with(kPartitionPrefix)) return {};
  const int number = ParseNumber(key.substr(kPartitionPrefix.size()));
  return number < 0 ? PartitionId() : TaskPartitionId(number);
}

PartitionId PartitionOfCustomer(const CustomerId& customer, int count) {
  const std::uint64_t hash = StableHash(customer.str());
  return TaskPartitionId(
      static_cast<int>(hash % static_cast<std::uint64_t>(count)));
}

std::string EncodeHostRow(const HostRow& row) {
  return json::serialize(json::object{
      {"incarnation", row.incarnation.value()},
      {"beat", row.renewal_count},
      {"data_centre", row.data_centre.str()},
      {"address", row.address},
      {"leaving", row.leaving},
      {"lapsed", row.expired},
  });
}

Result<HostRow> DecodeHostRow(std::string_view text) {
  Fields fields(text);
  HostRow row;
  row.incarnation = Incarnation(fields.Number("incarnation"));
  row.renewal_count = fields.Number("beat");
  row.data_centre = DataCentreId(fields.Text("data_centre"));
  row.address = fields.Text("address");
  row.leaving = fields.Flag("leaving");
  row.expired = fields.Flag("lapsed");
  if (!fields.valid()) return Fail(ErrorKind::kBadRequest, "not a host row");
  return row;
}

std::string EncodePartitionRow(const PartitionRow& row) {
  return json::serialize(json::object{
      {"owner", row.owner.str()},
      {"incarnation", row.incarnation.value()},
      {"epoch", row.epoch.value()},
  });
}

Result<PartitionRow> DecodePartitionRow(std::string_view text) {
  Fields fields(text);
  PartitionRow row;
  row.owner = EntryHostId(fields.Text("owner"));
  row.incarnation = Incarnation(fields.Number("incarnation"));
  row.epoch = Epoch(fields.Number("epoch"));
  if (!fields.valid()) {
    return Fail(ErrorKind::kBadRequest, "not a partition row");
  }
  return row;
}

}  // namespace gypsumfall
