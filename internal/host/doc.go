// Package host runs one host on a platform that keeps the configuration, the list of upstreams and the registered hosts
// in one store, and whose engines load and unload models on orders.
//
// Every host accepts calls. The leader also schedules the calls of all hosts to model engines and places models and
// adapters. A host that cannot reach the leader schedules its own calls with the data that it has.
package host
