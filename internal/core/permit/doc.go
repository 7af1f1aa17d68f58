// Package permit divides each team's fleet-wide limit into permits held by the
// entries, so that the running work never exceeds the limit.
//
// An entry's permits are its allotment in the configuration, plus those
// received from other members, less those sent to them. Transfers are
// cumulative counters, one for each team, sender and receiver: a lost message
// delays permits, and a duplicated or reordered one changes nothing. Allotments
// sum to the limit, and the sender subtracts a transfer before the receiver
// adds it, so the sum over all entries never exceeds the limit. An entry whose
// permits of a team are negative, such as after the limit was lowered, is in
// debt.
//
// Before members are removed, each remaining member ends its transfers with
// them and reports the net result as its settlement, which the configuration
// merges into the allotments.
package permit
