// Package docrev replicates the revisions of an environment's document to every host and accepts proposals of new
// revisions.
package docrev
