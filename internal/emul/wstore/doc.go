// Package wstore is a stand-in for the weight store.
package wstore
