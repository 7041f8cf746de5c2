// Package route finds the service of a request and tells whether its work is
// idempotent. The longest path prefix of the configuration wins.
package route
