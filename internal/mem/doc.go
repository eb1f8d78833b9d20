// Package mem bounds the bytes that a host holds of requests and responses, all of them together.
package mem
