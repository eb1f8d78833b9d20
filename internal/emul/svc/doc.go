// Package svc is a stand-in for an upstream of a plain service.
package svc
