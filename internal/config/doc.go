// Package config reads the settings of one host.
package config
