// Package speed estimates how fast engines are and what the prefill of a prompt token costs, by model.
//
// The time that a prefill takes is the product of its tokens, the cost of a token of the model and the slowness of the
// engine. The logarithms of cost and slowness are estimated with a Kalman filter each: the residual of a measurement is
// split between them by their variances, so that what one of them explains does not change the other. The first
// measurements of an engine form a running mean in this way, later ones an exponential average.
//
// A Table uses neither the network nor a clock, and is not safe for concurrent use.
package speed
