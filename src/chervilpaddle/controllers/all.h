#pragma once

//! Convenience header for the controllers. Including individual headers compiles faster.

#include <chervilpaddle/controllers/admissionqueue.h>
#include <chervilpaddle/controllers/bodymemory.h>
#include <chervilpaddle/controllers/configurationcontroller.h>
#include <chervilpaddle/controllers/configurationsync.h>
#include <chervilpaddle/controllers/connectionlimit.h>
#include <chervilpaddle/controllers/executor.h>
#include <chervilpaddle/controllers/gracefulshutdown.h>
#include <chervilpaddle/controllers/instancelist.h>
#include <chervilpaddle/controllers/instancepicker.h>
#include <chervilpaddle/controllers/latencyestimator.h>
#include <chervilpaddle/controllers/linkcontroller.h>
#include <chervilpaddle/controllers/occupancytuner.h>
#include <chervilpaddle/controllers/outlierdetector.h>
#include <chervilpaddle/controllers/peerselection.h>
#include <chervilpaddle/controllers/policyswitches.h>
#include <chervilpaddle/controllers/pricecontroller.h>
#include <chervilpaddle/controllers/pricetable.h>
#include <chervilpaddle/controllers/queueingdelayestimator.h>
#include <chervilpaddle/controllers/ratelimiter.h>
#include <chervilpaddle/controllers/requestcoalescer.h>
#include <chervilpaddle/controllers/resourcebudget.h>
#include <chervilpaddle/controllers/retryallowance.h>
#include <chervilpaddle/controllers/router.h>
#include <chervilpaddle/controllers/servicetimes.h>
#include <chervilpaddle/controllers/slotlimit.h>
#include <chervilpaddle/controllers/ticketregistry.h>
