// Package placement decides which instance gets a request.
//
// Each instance has a probability of failing, a load and a distance. A request
// goes where the expected benefit is largest: the probability that it succeeds in
// time, less the cost of the distance. Requests that may be repeated also test
// instances about which little is known, so that requests that must not be
// repeated find instances that answered well a moment ago. The load answered is
// that of a service of which a third of the instances fail at any time.
package placement
