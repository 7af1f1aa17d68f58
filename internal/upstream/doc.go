// Package upstream sends requests to the executors of the pools through
// net/http, and tells apart what certainly did not run, what was answered whole
// and what may have run.
package upstream
