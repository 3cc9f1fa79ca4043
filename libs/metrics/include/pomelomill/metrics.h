#pragma once

// Counters, gauges and histograms, and their text form.

#include "pomelomill/metrics/metric_registry.h"
