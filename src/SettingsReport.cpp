// The effective settings without secrets, as logged at the start.
#include "SettingsReport.h"

namespace sycamore {

Json describeSettings(const Settings &Value) {
  Json Out = {{"data_centre", Value.DataCentre_},
              {"integration", Value.Integration_},
              {"store", Value.Store_.Endpoints_},
              {"store_timeout_ms", Value.Store_.Timeout_.count()},
              {"store_calls_per_second", Value.Store_.CallsPerSecond_},
              {"caller_tls", Value.CallerTls_.has_value()},
              {"curve", Value.Curve_.has_value()},
              {"operators", Value.Operators_.size()},
              {"max_body_bytes", Value.Limits_.MaxBodyBytes_},
              {"max_calls", Value.Limits_.MaxCalls_},
              {"readers_per_data_centre", Value.Limits_.ReadersPerDataCentre_},
              {"link_deadline_ms", Value.Timing_.LinkDeadline_.count()},
              {"announce_interval_ms", Value.Timing_.AnnounceInterval_.count()},
              {"leave_notice_ms", Value.Timing_.LeaveNotice_.count()},
              {"stop_limit_ms", Value.StopLimit_.count()},
              {"retry_share", Value.Retries_.Share_},
              {"retry_constant", Value.Retries_.Constant_},
              {"retry_fleet_constant", Value.Retries_.FleetConstant_},
              {"revocation_max_age_ms", Value.Revocation_.MaxAge_.count()},
              {"record_keep_ms", Value.Records_.Keep_.count()},
              {"key_buckets", Value.Keys_.Buckets_}};
  if (Value.Target_)
    Out["target"] = {{"service", Value.Target_->Service_},
                     {"address", Value.Target_->Address_}};
  return Out;
}

} // namespace sycamore
