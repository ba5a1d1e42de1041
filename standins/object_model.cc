#include <string>
#include <utility>

#include "standins/models.h"

namespace gypsumfall::standins {

Answer<bool> ObjectModel::Put(const std::string& name, std::string bytes) {
  const FaultEffect effect = faults_.Match("object_put", {name});
  Answer<bool> answer{
      .down = effect.down, .applied = effect.applied, .delay = effect.delay};
  if (effect.applied) objects_[name] = std::move(bytes);
  if (effect.answered) answer.reply = true;
  return answer;
}

Answer<std::optional<std::string>> ObjectModel::Get(const std::string& name) {
  const FaultEffect effect = faults_.Match("object_get", {name});
  Answer<std::optional<std::string>> answer{
      .down = effect.down, .applied = effect.applied, .delay = effect.delay};
  if (!effect.answered) return answer;
  const auto found = objects_.find(name);
  answer.reply.emplace();
  if (found != objects_.end()) *answer.reply = found->second;
  return answer;
}

Answer<bool> ObjectModel::Delete(const std::string& name) {
  const FaultEffect effect = faults_.Match("object_delete", {name});
  Answer<bool> answer{
      .down = effect.down, .applied = effect.applied, .delay = effect.delay};
  if (effect.applied) objects_.erase(name);
  if (effect.answered) answer.reply = true;
  return answer;
}

}  // namespace gypsumfall::standins
