#pragma once

//! All public headers of this theme, for convenience; including single headers keeps compile times lower.

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/base/ids.h>
#include <chervilpaddle/base/inidocument.h>
#include <chervilpaddle/base/problem.h>
#include <chervilpaddle/base/random.h>
#include <chervilpaddle/base/rcucell.h>
#include <chervilpaddle/base/resultcode.h>
#include <chervilpaddle/base/units.h>
