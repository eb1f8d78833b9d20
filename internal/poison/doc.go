// Package poison finds prompt segments that crash engines and quarantines them.
//
// A call that crashes its engine is like a poison message in a queue: every retry, and every further call with the same
// content, takes down one more engine. The calls that shared an engine with it broke as well, so one crash proves
// nothing. A segment is quarantined if engines broke at different times under different calls with it that had got no
// event, while no call with it was served. Segments that calls have in common with the cause, such as a system prompt,
// are cleared by the calls that are served.
//
// A call that comes again is one request, with the same path and body. It is quarantined like a segment that only it
// has.
package poison
