// Package docrev propagates document revisions to every host and accepts new ones.
package docrev
