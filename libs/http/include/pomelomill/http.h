#pragma once

// HTTP client and server on Asio.

#include "pomelomill/http/http_client.h"
#include "pomelomill/http/http_error.h"
#include "pomelomill/http/http_listener.h"
#include "pomelomill/http/http_message.h"
#include "pomelomill/http/memory_budget.h"
#include "pomelomill/http/persistent_http_client.h"
