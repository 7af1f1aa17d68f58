// Package manager is the process that runs on every entry VM: it takes clients'
// calls, and while it holds the duty it runs the dispatcher.
//
// All processes are alike. They share nothing but the store: jobs, progress,
// the duty and the dispatcher's load lie there.
package manager
