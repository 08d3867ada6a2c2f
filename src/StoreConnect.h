// Configuration of the etcd store client from the settings.
#pragma once

#include "sycamore/EtcdStore.h"
#include "sycamore/Settings.h"

namespace sycamore {

EtcdStoreConfig etcdStoreConfig(const StoreSettings &Config);

} // namespace sycamore
