// Package late remembers orders to engines that got no response. An engine may carry such an order out later, also
// after it has started again under its id, when it has accepted as many orders as the order expects.
package late
