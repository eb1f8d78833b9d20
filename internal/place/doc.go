// Package place decides which models are resident on the engines of a service, from the demand for each model.
//
// A Planner uses neither the network nor a clock. Each engine takes one order at a time, and after each order the plan
// is computed again from what the engines report, so a new leader needs no state of its predecessor.
package place
