// Package admission decides which requests run in the slots of one instance, in
// which order they wait, and which are refused.
//
// It is meant for demand that exceeds the slots for several seconds. A request
// is refused as soon as it is known that it cannot be served before its
// deadline, so that it can be sent to another instance or its caller can be
// told without delay. Among the waiting requests, those that can still be
// answered within their target run first; they are ordered by the priority of
// their route and then by their target.
//
// Requests that belong to organisations share the slots. Calls of instances go first,
// then organisations and kinds of which far fewer requests than usual were admitted,
// then the priority of the organisation, that of the route, and the organisation that
// used less of the slots. Instances do not communicate: each sees a random sample of
// all requests, so equal shares at each give about equal shares over the service.
package admission
