// Package apigw is the HTTP API for callers: OpenAI-compatible generation, requests to plain services, the list of
// models, the addresses of hosts, and health checks.
package apigw
