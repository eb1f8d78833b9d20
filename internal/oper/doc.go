// Package oper serves the operators' HTTP API: documents, their revisions, host status and drains.
package oper
