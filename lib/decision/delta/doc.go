// Package delta describes the change of a document as one replaced range.
//
// A delta contains the digests of its base and of its result, so that it applies
// only to the content that it was made from, and its result is verified.
package delta
