// Package front is the service that serves callers over HTTP.
//
// It converts HTTP requests to the types of package request, and answers back to
// HTTP. It makes no routing decisions, so that another front end can use the same
// services.
package front
