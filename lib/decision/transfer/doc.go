// Package transfer decides what the two sides of an exchange know about a request
// whose body is sent in parts: the sender on the VM of the client, and the receiver
// on the VM of the instance.
//
// The receiver grants a slot before the body is sent, and the request may run only
// when its last part has arrived. The sender therefore knows that the request did
// not run and never will as long as it has not handed over the last part. A grant is
// void if the parts of the body do not arrive in time.
package transfer
