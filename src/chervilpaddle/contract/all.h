#pragma once

//! Includes all public headers of this directory. Including single headers keeps compile times lower.

#include <chervilpaddle/contract/bundle.h>
#include <chervilpaddle/contract/contract.h>
#include <chervilpaddle/contract/manifestdocument.h>
