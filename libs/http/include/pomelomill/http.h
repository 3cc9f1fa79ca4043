#pragma once

// HTTP client for the store, the platform and the endpoints.

#include "pomelomill/http/http_client.h"
#include "pomelomill/http/http_error.h"
#include "pomelomill/http/http_message.h"
