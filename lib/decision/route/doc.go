// Package route finds the service of a request by the longest matching path
// prefix of the configuration, and reports whether the request is idempotent.
package route
