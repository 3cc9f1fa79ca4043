#pragma once

// Decides which submissions an overloaded pool turns away, and when these
// should return. Performs no input or output; see docs/design/admission.md.

#include "pomelomill/admission/admission_book.h"
