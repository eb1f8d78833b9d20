// Package place decides which models the engines of a service hold, from the work that each model brings.
//
// A Planner needs no network and no clock. Each engine takes one order at a time, and the plan follows anew from what
// the engines report after each order, so nothing has to be remembered when another host takes over.
package place
