#include "gypsumfall/entry/internal/store_service.h"

namespace gypsumfall {

StoreService::StoreService(const EntryContext& context)
    : table_(context.clients,
             context.settings.platform.table_service.ToString()),
      objects_(context.clients,
               context.settings.platform.object_store.ToString()),
      host_list_(context.clients,
                 context.settings.platform.host_list.ToString()) {}

std::string StoreService::Dump() const { return ""; }

}  // namespace gypsumfall
