// Package front is the service that serves callers over HTTP.
//
// It turns HTTP requests into the types of package request and answers back
// into HTTP. It decides nothing; another front end can use the same services.
package front
