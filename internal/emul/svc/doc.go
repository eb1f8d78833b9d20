// Package svc emulates an upstream of a plain service over HTTP.
package svc
