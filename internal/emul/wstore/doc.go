// Package wstore emulates the weight store, from which engines load models and adapters, over HTTP.
package wstore
