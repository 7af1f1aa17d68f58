// Package upstream sends requests to executors, the VMs of a pool that serve
// requests, over HTTP. It classifies each attempt: the executor did not run the
// request, its complete response arrived, or it may have run the request.
package upstream
