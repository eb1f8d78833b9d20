// Package weight is the client of the weight store's catalog and health endpoints.
// Engines fetch the weights themselves.
package weight
