// Package verkv is the form in which the store holds which software versions of services are in service: one key for
// each service, written when they change. Where it is a single version, that version began the streams without a
// record.
package verkv
