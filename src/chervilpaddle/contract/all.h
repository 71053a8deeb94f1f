#pragma once

//! All public headers of this theme, for convenience; including single headers keeps compile times lower.

#include <chervilpaddle/contract/bundle.h>
#include <chervilpaddle/contract/contract.h>
#include <chervilpaddle/contract/manifestdocument.h>
