// Package hedge repeats calls that get no answer in the usual time.
//
// A call that may be repeated without harm is sent again, over another connection, once
// it has been without an answer for longer than calls of its kind and to its callee take. The
// first try may still answer: the first answer that decides wins. Repeats are limited to
// a part of all calls, so that a slow fleet isn't sent more than it would be otherwise.
package hedge
