#include <utility>

#include "standins/models.h"

namespace gypsumfall::standins {

void HostListModel::Set(const ListedHost& host, Time now) {
  changes_[host.id].push_back({now, host});
}

void HostListModel::Remove(const WorkerId& id, Time now) {
  changes_[id].push_back({now, std::nullopt});
}

Answer<HostListReply> HostListModel::View(Time now) {
  const FaultEffect effect = faults_.Match("hosts", {});
  Answer<HostListReply> answer{.down = effect.down, .delay = effect.delay};
  if (!effect.answered) return answer;
  answer.applied = true;
  answer.reply.emplace();
  const Time cutoff = now - lag_;
  for (auto& [id, changes] : changes_) {
    while (changes.size() > 1 && changes[1].at <= cutoff) changes.pop_front();
    const Change& first = changes.front();
    if (first.at <= cutoff && first.host) {
      answer.reply->hosts.push_back(*first.host);
    }
  }
  return answer;
}

}  // namespace gypsumfall::standins
