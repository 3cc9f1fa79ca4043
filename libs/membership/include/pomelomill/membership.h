#pragma once

// Which entries are alive, which of them may send work, and which share of
// the endpoints' slots each may use. Pure: no sockets, threads or clocks.

#include "pomelomill/membership/fencing_view.h"
#include "pomelomill/membership/member_report.h"
#include "pomelomill/membership/member_table.h"
#include "pomelomill/membership/membership_error.h"
#include "pomelomill/membership/membership_settings.h"
#include "pomelomill/membership/partner_choice.h"
#include "pomelomill/membership/registrations.h"
#include "pomelomill/membership/send_permit.h"
#include "pomelomill/membership/slot_shares.h"
#include "pomelomill/membership/state_gate.h"
