// Package certs creates a certificate authority and host certificates for tests and demonstrations.
package certs
