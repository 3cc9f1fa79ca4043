#pragma once

// Messages between entries over gRPC. No gRPC type is part of the interface.

#include "pomelomill/peer/change_list.h"
#include "pomelomill/peer/exchange_book.h"
#include "pomelomill/peer/exchange_loop.h"
#include "pomelomill/peer/peer_client.h"
#include "pomelomill/peer/peer_error.h"
#include "pomelomill/peer/peer_messages.h"
#include "pomelomill/peer/peer_options.h"
#include "pomelomill/peer/peer_server.h"
