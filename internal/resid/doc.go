// Package resid tracks what is resident on one engine, order by order, so that no order loads more than fits.
//
// The known state is that after a certain number of accepted orders, and every order states that number. The engine
// rejects an order if the number differs, for instance because an earlier order without a response was executed late.
package resid
