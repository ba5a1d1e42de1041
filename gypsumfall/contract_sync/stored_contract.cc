#include <boost/json.hpp>
#include <string>
#include <string_view>

#include "gypsumfall/contract_sync/contract_sync.h"

namespace gypsumfall {

namespace json = boost::json;

std::string EncodeStoredContract(const StoredContract& contract) {
  return json::serialize(json::object{
      {"customer", contract.customer.str()},
      {"version", contract.version.value()},
      {"text", contract.text},
      {"author", contract.author},
      {"token", contract.token},
  });
}

Result<StoredContract> DecodeStoredContract(const std::string& value) {
  boost::system::error_code failed;
  const json::value parsed = json::parse(value, failed);
  if (failed || !parsed.is_object()) {
    return Fail(ErrorKind::kInternal, "contract row is not a JSON object");
  }
  const json::object& object = parsed.as_object();
  const auto text_of = [&](std::string_view name) {
    const json::value* field = object.if_contains(name);
    const bool is_text = field != nullptr && field->is_string();
    return is_text ? std::string(field->as_string()) : std::string();
  };
  const json::value* version = object.if_contains("version");
  StoredContract contract;
  contract.customer = CustomerId(text_of("customer"));
  if (contract.customer.empty() || version == nullptr) {
    return Fail(ErrorKind::kInternal, "contract row lacks customer or version");
  }
  contract.version = ContractVersion(version->to_number<std::uint64_t>(failed));
  if (failed) {
    return Fail(ErrorKind::kInternal, "contract row has a bad version");
  }
  contract.text = text_of("text");
  contract.author = text_of("author");
  contract.token = text_of("token");
  return contract;
}

std::string_view ContractPrefix() { return "contract/"; }

std::string ContractKey(const CustomerId& customer) {
  return std::string(ContractPrefix()) + customer.str();
}

std::string ContractHistoryKey(const CustomerId& customer,
                               ContractVersion version) {
  return "contract_history/" + customer.str() + "/" +
         std::to_string(version.value());
}

}  // namespace gypsumfall
