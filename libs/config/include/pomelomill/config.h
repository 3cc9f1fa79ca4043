#pragma once

// Operators' declarations: their data model, INI parser, checks, canonical
// form and differences; the record of the accepted configuration; the settings
// of a process.

#include "pomelomill/config/canonical_text.h"
#include "pomelomill/config/config_error.h"
#include "pomelomill/config/config_record.h"
#include "pomelomill/config/declarations.h"
#include "pomelomill/config/diagnostic.h"
#include "pomelomill/config/job_service_settings.h"
#include "pomelomill/config/parse.h"
#include "pomelomill/config/serve_settings.h"
