// Package strict decodes JSON with comments and rejects unknown and duplicate
// keys, wrong types and values out of range.
//
// All faults of a file are reported at once. Each names the file, the line and
// column, the key, what was found and what is allowed.
package strict
