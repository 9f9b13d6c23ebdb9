//! Agent process beside an endpoint: slots, task starts, results.
