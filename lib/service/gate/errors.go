package gate

import "fmt"

// leftError tells how many requests were left at the end of a drain.
type leftError struct{ left int }

func (e *leftError) Error() string { return fmt.Sprintf("gate: drain: %d requests left", e.left) }
