// Connects to the store that the settings name.
#pragma once

#include "sycamore/EtcdStore.h"
#include "sycamore/Settings.h"

namespace sycamore {

EtcdStoreConfig etcdStoreConfig(const StoreSettings &Config);

} // namespace sycamore
