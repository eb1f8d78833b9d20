// Package ledger records the items that occupy memory on an engine, and those that an order may still load, even if it
// arrives late.
//
// It makes these assumptions. An order that passed its lease check arrives at the engine within Rules.MaxOrderDelay or
// never. The clocks of two hosts run at nearly the same rate but may differ by any amount, so times are not stored: a
// new owner waits the whole maximum order delay again from its takeover, which is after the last lease check of the
// previous owner. The clock of an engine is never used. An engine that checks fencing keeps its highest fencing token
// over a restart; if a report shows that the token fell, the ledger applies the rules for engines without fencing from
// then on.
package ledger
