#pragma once

// Operators' declarations: their data model, INI parser, checks, canonical
// form and differences.

#include "pomelomill/config/canonical_text.h"
#include "pomelomill/config/config_error.h"
#include "pomelomill/config/declarations.h"
#include "pomelomill/config/diagnostic.h"
#include "pomelomill/config/parse.h"
