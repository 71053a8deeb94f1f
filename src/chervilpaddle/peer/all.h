#pragma once

//! All public headers of this theme, for convenience; including single headers keeps compile times lower.

#include <chervilpaddle/peer/codec.h>
#include <chervilpaddle/peer/messages.h>
