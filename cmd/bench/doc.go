// Command bench replays traces through the scheduling and placement code in virtual time, and measures the time and the
// memory that a scheduling decision costs.
package main
