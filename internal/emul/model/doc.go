// Package model is a stand-in for a model engine. It makes up its tokens, so that an answer that was resumed elsewhere
// can be compared with an uncut one.
package model
