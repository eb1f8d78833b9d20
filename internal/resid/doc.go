// Package resid follows what one engine holds, order by order, so that no order asks for more than fits.
//
// What is known belongs to a number of accepted orders, and every order names that number: the engine rejects the order
// when its state is another one by then, for instance because an order without an answer was carried out late.
package resid
