// Package fault injects faults into the requests of an emulator. It serves the fault injection endpoint /fault and the
// request record at /record, which are the same for every emulator.
package fault
