package gate

import "fmt"

// drainError tells how many requests were left at the end of a drain.
type drainError struct{ remaining int }

func (e *drainError) Error() string { return fmt.Sprintf("gate: drain: %d requests left", e.remaining) }
