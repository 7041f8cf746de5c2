// Package placement decides which instance gets a request.
//
// Each instance has a probability of failing, a load and a distance. A request
// goes to the instance with the largest expected benefit: the probability that
// it succeeds in time, less the costs of load and distance. Requests that may
// be repeated are also used to test instances about which little is known.
// Requests that must not be repeated then find instances with recent successes.
//
// The package is meant for a service of which a third of the instances fail at
// any time.
package placement
