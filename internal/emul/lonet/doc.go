// Package lonet gives deployments that run on one machine loopback addresses of their own. A port that is only known to
// be free now may belong to another process by the time a host listens on it, or while the host restarts; callers would
// then reach the upstreams of another deployment.
package lonet
