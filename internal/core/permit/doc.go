// Package permit divides each team's upper limit into permits that entries
// hold, so that the work running fleet-wide never passes the limit.
//
// An entry's permits are its allotment in the configuration, plus all that it
// received from other members, less all that it sent to them. Transfers are
// cumulative counters, one for each team, sender and receiver: a lost message
// delays permits, and a repeated or reordered one changes nothing. Allotments
// sum to the limit, and a transfer is subtracted at its sender before it is
// added at its receiver, so the sum over all entries never exceeds the limit.
package permit
