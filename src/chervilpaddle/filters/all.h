#pragma once

//! Includes all public headers of this directory. Including single headers keeps compile times lower.

#include <chervilpaddle/filters/entryfilters.h>
#include <chervilpaddle/filters/entryrequest.h>
#include <chervilpaddle/filters/filterchain.h>
