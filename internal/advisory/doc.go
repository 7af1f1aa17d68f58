// Package advisory asks the platform's advisor which VMs may run a step.
//
// The advisor serves one question at a time for each entry VM. So the
// dispatcher's questions are spread over all entries: each of them registers an
// address in the store while some queue needs advice, and serves a question at
// a time over HTTP with msgpack bodies.
package advisory
