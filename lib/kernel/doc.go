// Package kernel runs the services of one process.
//
// Each service is registered under a name. Before any service starts, the kernel
// lets each one find the services that it needs by their names, and returns an
// error for a name that is missing, registered twice or part of a cycle. Services
// start in the order of their dependencies and stop in the reverse order. When a
// service fails, the kernel stops the others and returns an error that states the
// name of the failed service.
package kernel
