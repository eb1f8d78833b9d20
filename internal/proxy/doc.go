// Package proxy forwards requests to the upstreams of plain services, with load balancing, outlier ejection and
// retries.
package proxy
