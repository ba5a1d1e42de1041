#include <string>
#include <utility>

#include "standins/models.h"

namespace gypsumfall::standins {

Answer<bool> ObjectModel::Put(const std::string& name, std::string bytes) {
  const FaultVerdict verdict = faults_.Judge("object_put", {name});
  Answer<bool> answer{
      .down = verdict.down, .applied = verdict.applied, .delay = verdict.delay};
  if (verdict.applied) objects_[name] = std::move(bytes);
  if (verdict.answered) answer.reply = true;
  return answer;
}

Answer<std::optional<std::string>> ObjectModel::Get(const std::string& name) {
  const FaultVerdict verdict = faults_.Judge("object_get", {name});
  Answer<std::optional<std::string>> answer{
      .down = verdict.down, .applied = verdict.applied, .delay = verdict.delay};
  if (!verdict.answered) return answer;
  const auto found = objects_.find(name);
  answer.reply.emplace();
  if (found != objects_.end()) *answer.reply = found->second;
  return answer;
}

Answer<bool> ObjectModel::Delete(const std::string& name) {
  const FaultVerdict verdict = faults_.Judge("object_delete", {name});
  Answer<bool> answer{
      .down = verdict.down, .applied = verdict.applied, .delay = verdict.delay};
  if (verdict.applied) objects_.erase(name);
  if (verdict.answered) answer.reply = true;
  return answer;
}

}  // namespace gypsumfall::standins
