#include "bench/load_result.h"

#include <boost/json.hpp>
#include <string>

namespace gypsumfall::load {
namespace {

boost::json::object Quantiles(const LatencyHistogram& latency) {
  boost::json::object object;
  object["count"] = latency.count();
  object["p50_us"] = latency.Quantile(0.5).count();
  object["p90_us"] = latency.Quantile(0.9).count();
  object["p99_us"] = latency.Quantile(0.99).count();
  object["p99_9_us"] = latency.Quantile(0.999).count();
  object["max_us"] = latency.Quantile(1).count();
  return object;
}

boost::json::object ToObject(const LoadResult::Counts& counts) {
  boost::json::object object;
  for (const auto& [name, count] : counts) object[name] = count;
  return object;
}

}  // namespace

std::string LoadResult::ToJson() const {
  constexpr double kUsPerSecond = 1e6;
  const double seconds = static_cast<double>(elapsed.count()) / kUsPerSecond;
  boost::json::object object;
  object["calls"] = calls;
  object["answered"] = answered;
  object["mismatched"] = mismatched;
  object["malformed"] = malformed;
  object["cut_off"] = cut_off;
  object["cut_off_on_reuse"] = cut_off_on_reuse;
  object["not_sent"] = not_sent;
  object["timed_out"] = timed_out;
  object["dropped"] = dropped;
  object["unfinished"] = unfinished;
  object["tasks_open"] = unfinished_tasks;
  object["poll_failures"] = poll_failures;
  object["by_task_end"] = ToObject(by_final_status);
  object["by_was_run"] = ToObject(by_was_run);
  object["by_error"] = ToObject(by_error);
  object["by_status"] = ToObject(by_http_status);
  object["by_host"] = ToObject(by_host);
  object["latency"] = Quantiles(latency);
  object["error_latency"] = Quantiles(error_latency);
  if (task_latency.count() > 0) object["task"] = Quantiles(task_latency);
  object["elapsed_s"] = seconds;
  object["answers_per_s"] =
      seconds > 0 ? static_cast<double>(answered) / seconds : 0;
  return boost::json::serialize(object);
}

}  // namespace gypsumfall::load
