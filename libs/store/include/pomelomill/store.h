#pragma once

// Access to the platform's key-value service.

#include "pomelomill/store/store_client.h"
#include "pomelomill/store/store_error.h"
