// Configuration of the etcd store client from the settings.
#include "StoreConnect.h"

namespace sycamore {

EtcdStoreConfig etcdStoreConfig(const StoreSettings &Config) {
  EtcdStoreConfig Out;
  Out.Endpoints_ = Config.Endpoints_;
  Out.CallsPerSecond_ = static_cast<double>(Config.CallsPerSecond_);
  if (Config.Tls_)
    Out.Tls_ = {Config.Tls_->Certificate_, Config.Tls_->Key_, Config.Tls_->Ca_};
  return Out;
}

} // namespace sycamore
