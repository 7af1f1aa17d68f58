// Package upstream sends requests over HTTP to their upstreams. An upstream is
// the executor of a VM, that is, its service that answers requests. Each attempt
// has one of three results: the upstream did not run the request, its complete
// response arrived, or it may have run the request.
package upstream
