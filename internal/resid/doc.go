// Package resid tracks what is resident on one engine, order by order, so that no order loads more than fits.
//
// The state is known as of a certain number of orders that the engine has accepted, and every order carries this
// number. The engine rejects an order whose number differs from its own count, for instance because an earlier order
// without a response was executed late.
package resid
