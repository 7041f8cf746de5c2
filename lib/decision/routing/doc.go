// Package routing decides which service handles a request, from the published
// configuration: routes by host and longest path prefix, and splits by weight.
package routing
