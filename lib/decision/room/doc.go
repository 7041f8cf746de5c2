// Package room decides which requests of a service are refused at the entry because
// the service has no room for them.
//
// Gates report their load to one node of their data centre (Reporter), which adds the
// loads of each service up (Sums) and passes the sums on. From the sums, an entry
// estimates the demand for a service relative to its capacity and derives the share of
// requests that it admits (Share). It refuses the least urgent ones (Filter). Old or
// missing sums refuse nothing.
package room
