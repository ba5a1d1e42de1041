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
  const FaultVerdict verdict = faults_.Judge("hosts", {});
  Answer<HostListReply> answer{.down = verdict.down, .delay = verdict.delay};
  if (!verdict.answered) return answer;
  answer.applied = true;
  answer.reply.emplace();
  const Time shown = now - lag_;
  for (auto& [id, changes] : changes_) {
    while (changes.size() > 1 && changes[1].at <= shown) changes.pop_front();
    const Change& first = changes.front();
    if (first.at <= shown && first.host) {
      answer.reply->hosts.push_back(*first.host);
    }
  }
  return answer;
}

}  // namespace gypsumfall::standins
