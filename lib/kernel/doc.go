// Package kernel runs the services of one process.
//
// Each service is registered under a name. Before anything starts, the kernel
// lets every service find the services that it needs by their names, and
// reports a name that is missing, taken twice or part of a cycle. Services
// start in the order of their needs and stop in the reverse order. When one
// service fails, the kernel stops the others and returns the error with the
// name of the service that failed.
package kernel
