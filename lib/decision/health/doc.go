// Package health detects gray failures from observations of requests.
//
// A Detector compares each instance with its siblings, the other instances of
// the same service. The siblings give the usual distribution of times for each
// route and the usual share of errors. An observation has a log likelihood
// ratio for each Hypothesis: how much more likely it is if the instance has that
// fault than if it behaves as the siblings do. A Policy turns these ratios into
// a score. The policy in use, Sequential, adds the ratios up (CUSUM) and asks for
// more when the siblings moved the same way in the same time.
//
// Times are those in the backend server, without queues, so that a swing of
// demand moves no score. The package starts no goroutine and reads no clock.
package health
