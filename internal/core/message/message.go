// Package message defines what entries send each other, and how it is written
// on the wire with msgpack.
//
// The messages are a closed set behind Message. Each may be lost, repeated or
// late: what matters travels as cumulative counters, whole reports or
// revisions, so that hearing a message twice changes nothing.
package message

import (
	"github.com/balsamgauge/balsamgauge/internal/core/permit"
	"github.com/balsamgauge/balsamgauge/internal/core/task"
	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// A Message is one thing that an entry tells another.
type Message interface {
	// kind marks the closed set of messages.
	kind() kind
}

// Heartbeat tells a peer that the entry lives and what it last heard.
type Heartbeat struct {
	// Revision is the configuration that the entry runs by.
	Revision int64  `json:"rev"`
	AZ       string `json:"az"`
	// SentNanos is the sender's clock; Echo is the receiver's own SentNanos
	// that the sender heard last. Zero means none.
	SentNanos int64 `json:"sent"`
	Echo      int64 `json:"echo"`
	Leaving   bool  `json:"leaving,omitempty"`
	// Spare lists the teams of which the sender has permits to give.
	Spare []SparePermits `json:"spare,omitempty"`
	// SeenLeaving lists VMs that the sender saw leaving.
	SeenLeaving []string `json:"seen_leaving,omitempty"`
	// Gone lists voters that the sender knows to run no more.
	Gone []string `json:"gone,omitempty"`
}

// SparePermits is how many of a team's permits a member could give away.
type SparePermits struct {
	Team    string `json:"team"`
	Permits int    `json:"permits"`
}

// Edits carries consecutive changes of the configuration.
type Edits struct {
	Edits []table.Edit `json:"edits"`
}

// SnapshotRequest asks for the whole configuration, by a peer whose own is older
// than the changes that are kept.
type SnapshotRequest struct {
	Have int64 `json:"have"`
}

// Snapshot carries the whole configuration as the store keeps it.
type Snapshot struct {
	Config []byte `json:"config"`
}

// Demand is an entry's whole report to a pool's dispatcher.
type Demand struct {
	Pool string `json:"pool"`
	// Acknowledged is the number of the last grant that the entry heard.
	Acknowledged uint64       `json:"ack"`
	Lanes        []LaneDemand `json:"lanes,omitempty"`
	Running      []Running    `json:"running,omitempty"`
	// Suspects lists VMs that the entry could not connect to a moment ago.
	Suspects []string `json:"suspects,omitempty"`
}

// LaneDemand is the work of a lane that could start at once.
type LaneDemand struct {
	Team    string        `json:"t"`
	Urgency table.Urgency `json:"u"`
	Waiting int           `json:"w"`
	// AgeMillis is how long the oldest has waited.
	AgeMillis int64 `json:"a"`
	// Retry says that the work was tried before, and Avoid on which VMs.
	Retry bool     `json:"r,omitempty"`
	Avoid []string `json:"x,omitempty"`
}

// Running is how much work of a team an entry has running on a VM.
type Running struct {
	VM   string `json:"v"`
	Team string `json:"t"`
	// Reserve says that the slots are of the reserve for urgent work.
	Reserve bool `json:"u,omitempty"`
	Count   int  `json:"c"`
}

// Grants gives slots to an entry.
type Grants struct {
	Pool   string  `json:"pool"`
	Grants []Grant `json:"grants"`
}

// Grant is one slot on a VM for the work of one lane.
type Grant struct {
	// Seq counts the grants of one dispatcher to one entry.
	Seq     uint64        `json:"s"`
	VM      string        `json:"v"`
	Team    string        `json:"t"`
	Urgency table.Urgency `json:"u"`
	Retry   bool          `json:"r,omitempty"`
	// Reserve says that the slot is of the reserve, so that only urgent work
	// may use it next.
	Reserve bool `json:"x,omitempty"`
}

// Recall asks an entry not to use slots for the next work of a team, but to
// give them back as they become free.
type Recall struct {
	Pool  string       `json:"pool"`
	Slots []RecallSlot `json:"slots"`
}

// RecallSlot is how many slots of a team are wanted back.
type RecallSlot struct {
	Team    string `json:"t"`
	Reserve bool   `json:"u,omitempty"`
	Count   int    `json:"c"`
}

// PermitRequest asks for permits of a team.
type PermitRequest struct {
	Team    string `json:"team"`
	Permits int    `json:"permits"`
	// AgeMillis is how long the oldest work of the team has waited, and Urgent
	// whether urgent work of it waits.
	AgeMillis int64 `json:"age"`
	Urgent    bool  `json:"urgent,omitempty"`
	// Free is how many permits the asker holds without using them.
	Free int `json:"free,omitempty"`
}

// PermitTransfer tells a member the cumulative permits sent to it.
type PermitTransfer struct {
	Totals []permit.Total `json:"totals"`
	// Spare is what the sender still could give of the teams named.
	Spare []SparePermits `json:"spare,omitempty"`
}

// Freeze asks a member to end transfers with members that are to be removed.
type Freeze struct {
	Members []string `json:"members"`
}

// Frozen answers Freeze with the net transfers, which are final.
type Frozen struct {
	Members    []string         `json:"members"`
	Settlement table.Settlement `json:"settlement"`
}

// TaskQuery asks whether a member holds a task.
type TaskQuery struct {
	RequestID uint64 `json:"ask"`
	TaskID    string `json:"task"`
}

// TaskReply answers TaskAsk. Found is false when the member does not hold it.
type TaskReply struct {
	RequestID uint64      `json:"ask"`
	Found     bool        `json:"found"`
	Status    task.Status `json:"status"`
}

// ReserveKey asks a member to remember that a request with an idempotency key is
// about to run.
type ReserveKey struct {
	RequestID uint64 `json:"ask"`
	// Hash covers the team and the caller's idempotency key.
	Hash string `json:"hash"`
}

// ReserveKeyReply answers Reserve. Fresh is false when the key was seen before.
type ReserveKeyReply struct {
	RequestID uint64 `json:"ask"`
	Hash      string `json:"hash"`
	Fresh     bool   `json:"fresh"`
}

// KeyHandover hands idempotency keys on to a member that came to be their home.
type KeyHandover struct {
	Keys []IdempotencyKey `json:"keys"`
}

// IdempotencyKey is an idempotency key that a member remembers.
type IdempotencyKey struct {
	Hash  string `json:"h"`
	Owner string `json:"o"`
	// AgeMillis is how long ago the key was seen.
	AgeMillis int64 `json:"a"`
}

// ReleaseKey asks a member to forget a reservation, because the request was
// certainly not run.
type ReleaseKey struct {
	Hash string `json:"hash"`
}
