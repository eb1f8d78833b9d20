// Package find collects validation findings in documents and settings, so that all of them are reported together.
package find
