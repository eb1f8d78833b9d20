// Package plan decides which models and adapters are loaded on each engine of a pool.
package plan
