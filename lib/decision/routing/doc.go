// Package routing decides which service handles a request, from the published
// configuration: it finds the route by host and longest path prefix, and
// divides the requests of a route between services by weight.
package routing
