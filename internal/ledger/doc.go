// Package ledger counts what may occupy an engine's memory, including orders that can still arrive late.
//
// Assumptions. An order that passed its lease check arrives at the engine within Rules.MaxOrderDelay or never. Clocks
// of two hosts run at nearly the same rate but may show any time, so times are not stored: a new owner starts every
// horizon when it takes over, which is after the last lease check of the earlier owner. The clock of an engine is never
// read. An engine that checks fencing keeps its highest number over a restart; a ledger that sees the number fall
// applies the rules for engines that ignore it from then on.
package ledger
