#pragma once

// In-memory fakes in virtual time for tests and the fault matrix. Each keeps
// a record of what really happened; none is linked into the binary.

#include "pomelomill/testing/call_transport.h"
#include "pomelomill/testing/fake_endpoint.h"
#include "pomelomill/testing/fake_network.h"
#include "pomelomill/testing/fake_platform.h"
#include "pomelomill/testing/fake_process.h"
#include "pomelomill/testing/fake_store.h"
#include "pomelomill/testing/fake_workers.h"
#include "pomelomill/testing/fault.h"
#include "pomelomill/testing/fault_injector.h"
