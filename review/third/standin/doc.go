// Command stand3 plays the cases of review/REPORT-3.md. It starts processes of the manage
// command and the stand-in of the platform on loopback, disturbs them as the case says, and
// judges what clients, VMs and the platform see.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main
