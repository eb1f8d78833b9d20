// Package apigw is the HTTP side towards callers: OpenAI-compatible generation, plain services and host addresses.
package apigw
