// Package relay executes generation calls: it requests a ticket, streams the tokens from the granted engine, and
// retries or hedges on other engines until the response is complete.
package relay
