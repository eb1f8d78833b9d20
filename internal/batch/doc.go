// Package batch lets calls at the same time share one run of a function.
package batch
