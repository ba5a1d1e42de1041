#include "gypsumfall/entry/internal/store_service.h"

namespace gypsumfall {

StoreService::StoreService(const EntryContext& context)
    : table_(context.runtime.io(), context.clients,
             {.endpoint = context.settings.platform.table_service.ToString()}),
      objects_(context.runtime.io(), context.clients,
               {.endpoint = context.settings.platform.object_store.ToString()}),
      host_list_(context.runtime.io(), context.clients,
                 {.endpoint = context.settings.platform.host_list.ToString()}) {
}

std::string StoreService::Dump() const { return ""; }

}  // namespace gypsumfall
