package advisory

import (
	"context"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
)

// Query asks which VMs may run a step of one occurrence of a job.
type Query struct {
	Job        job.ID   `msgpack:"j"`
	Occurrence int      `msgpack:"o"`
	Step       int      `msgpack:"s"`
	VMs        []string `msgpack:"v"`
}

// Tickets allow VMs to run a step.
type Tickets struct {
	// ByVM holds the ticket of each VM that may run the step.
	ByVM map[string]string `msgpack:"t"`
	// Valid is how long the tickets are valid.
	Valid time.Duration `msgpack:"v"`
}

// TicketSource requests tickets from the advisor, directly or through another
// entry.
type TicketSource interface {
	RequestTickets(ctx context.Context, que Query) (tks Tickets, err error)
}
