#pragma once

//! Includes all public headers of this module. Including only the headers that are needed compiles faster.

#include <chervilpaddle/peer/codec.h>
#include <chervilpaddle/peer/messages.h>
#include <chervilpaddle/peer/peertraffic.h>
