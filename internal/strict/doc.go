// Package strict decodes YAML files and reports every unknown field and value of a wrong type with its line.
package strict
