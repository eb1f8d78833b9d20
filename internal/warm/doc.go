// Package warm uses memory and loads that placement leaves idle for further copies of what is in demand.
package warm
