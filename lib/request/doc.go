// Package request defines a request, its answer and its outcome independently of
// any wire format, so that any front end can use them.
package request
