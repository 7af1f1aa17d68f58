// Package advisory requests tickets from the platform's advisor, which decides
// which VMs may run a step.
//
// The advisor serves one query at a time for each entry VM. So the dispatcher's
// queries are spread over all entries (the processes on the entry VMs): each of
// them registers an address in the store while some queue needs advice, and
// serves one query at a time over HTTP with msgpack bodies. So each entry is a
// ticket source. Stored keys and log events call a registered entry an asker,
// and a query a question. The VMs that a query names are those that run tasks
// (worker.VM).
package advisory
