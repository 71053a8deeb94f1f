#pragma once

//! All public headers of this theme, for convenience; including single headers keeps compile times lower.

#include <chervilpaddle/filters/entryfilters.h>
#include <chervilpaddle/filters/entryrequest.h>
#include <chervilpaddle/filters/filterchain.h>
