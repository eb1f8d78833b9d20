// Package serve assembles the components of one host process (`figreel serve`), and starts and stops them.
package serve
