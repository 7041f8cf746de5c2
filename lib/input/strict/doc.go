// Package strict decodes JSON with comments strictly.
//
// All errors of a file are reported at once. Each names the file, the line and
// column, the key, what was found and what is allowed.
package strict
