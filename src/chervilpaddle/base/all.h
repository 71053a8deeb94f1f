#pragma once

//! Includes all public headers of this module. Including only the headers that are needed compiles faster.

#include <chervilpaddle/base/allocator.h>
#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/base/httpsyntax.h>
#include <chervilpaddle/base/ids.h>
#include <chervilpaddle/base/inidocument.h>
#include <chervilpaddle/base/problem.h>
#include <chervilpaddle/base/random.h>
#include <chervilpaddle/base/rcucell.h>
#include <chervilpaddle/base/resultcode.h>
#include <chervilpaddle/base/units.h>
