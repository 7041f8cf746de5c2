package retry

import "time"

// hedgeLimitRuns bounds the run of a hedge in expected run times. A second copy that
// runs for longer shows that the request itself is long, so that the copy
// gains nothing and takes a slot from short requests.
const hedgeLimitRuns = 8

// HedgeLimit returns the longest run of a hedge. A hedge does not wait in a
// queue, as it may only use capacity that is free.
func HedgeLimit(expected time.Duration) time.Duration { return hedgeLimitRuns * expected }
