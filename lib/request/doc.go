// Package request holds the plain types of a request, its answer and its
// outcome. They depend on no encoding, so that any front end can use them.
package request
