// Package message defines the messages between entries and their msgpack
// encoding.
//
// The messages are a closed set behind Message. Each may be lost, duplicated or
// delayed: state is sent as cumulative counters, complete reports or revisions,
// so that receiving a message twice changes nothing. A VM in a message is one of
// the fleet (vm.VM), which offers the service executor or worker.
package message

import (
	"github.com/balsamgauge/balsamgauge/internal/core/permit"
	"github.com/balsamgauge/balsamgauge/internal/core/task"
	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// A Message is one message from an entry to another.
type Message interface {
	// kind restricts the interface to the types of this package.
	kind() kind
}

// Heartbeat reports that the sender is alive and what it last received.
type Heartbeat struct {
	// Revision is the revision of the configuration in force at the sender.
	Revision int64  `json:"rev"`
	AZ       string `json:"az"`
	// SentNanos is the sender's clock. Echo is the latest SentNanos that the
	// sender received from the receiver. Zero means none.
	SentNanos int64 `json:"sent"`
	Echo      int64 `json:"echo"`
	Leaving   bool  `json:"leaving,omitempty"`
	// SparePermits lists the permits that the sender can transfer, by team.
	SparePermits []SparePermits `json:"spare,omitempty"`
	// SeenLeaving lists the VMs that the sender observed shutting down.
	SeenLeaving []string `json:"seen_leaving,omitempty"`
	// Gone lists the voters that the sender knows to have terminated.
	Gone []string `json:"gone,omitempty"`
}

// SparePermits is the number of a team's permits that a member can transfer.
type SparePermits struct {
	Team    string `json:"team"`
	Permits int    `json:"permits"`
}

// Edits carries consecutive changes to the configuration.
type Edits struct {
	Edits []table.Edit `json:"edits"`
}

// SnapshotRequest requests the whole configuration. A peer sends it when its
// own is older than the retained changes.
type SnapshotRequest struct {
	// Have is the revision of the sender's configuration.
	Have int64 `json:"have"`
}

// Snapshot carries the whole configuration in the encoding of the store.
type Snapshot struct {
	Config []byte `json:"config"`
}

// Demand is an entry's complete report to a pool's dispatcher.
type Demand struct {
	Pool string `json:"pool"`
	// Acknowledged is the sequence number of the last grant that the entry
	// received.
	Acknowledged uint64       `json:"ack"`
	Lanes        []LaneDemand `json:"lanes,omitempty"`
	Running      []Running    `json:"running,omitempty"`
	// Suspects lists the VMs to which the entry recently failed to connect.
	Suspects []string `json:"suspects,omitempty"`
}

// LaneDemand is the work of a lane, as work.Lane defines it, that is ready to
// start.
type LaneDemand struct {
	Team    string        `json:"t"`
	Urgency table.Urgency `json:"u"`
	Waiting int           `json:"w"`
	// AgeMillis is how long the oldest work has waited.
	AgeMillis int64 `json:"a"`
	// Retry reports whether the work has had an attempt; Avoid lists the VMs of
	// its attempts.
	Retry bool     `json:"r,omitempty"`
	Avoid []string `json:"x,omitempty"`
}

// Running is the number of slots that a team's work uses on a VM, for one
// entry.
type Running struct {
	VM   string `json:"v"`
	Team string `json:"t"`
	// Reserve reports whether the slots belong to the reserve for urgent work.
	Reserve bool `json:"u,omitempty"`
	Count   int  `json:"c"`
}

// Grants carries a dispatcher's grants to an entry.
type Grants struct {
	Pool   string  `json:"pool"`
	Grants []Grant `json:"grants"`
}

// Grant is one slot on a VM for the work of one lane.
type Grant struct {
	// Seq is the sequence number of the grant, counted for each dispatcher and
	// entry.
	Seq     uint64        `json:"s"`
	VM      string        `json:"v"`
	Team    string        `json:"t"`
	Urgency table.Urgency `json:"u"`
	Retry   bool          `json:"r,omitempty"`
	// Reserve reports whether the slot belongs to the reserve. Only urgent work
	// may reuse such a slot.
	Reserve bool `json:"x,omitempty"`
}

// Recall requests that an entry return slots of a team as they become free
// instead of reusing them for the team's next work.
type Recall struct {
	Pool  string       `json:"pool"`
	Slots []RecallSlot `json:"slots"`
}

// RecallSlot is the number of a team's slots to return.
type RecallSlot struct {
	Team    string `json:"t"`
	Reserve bool   `json:"u,omitempty"`
	Count   int    `json:"c"`
}

// PermitRequest requests permits of a team.
type PermitRequest struct {
	Team    string `json:"team"`
	Permits int    `json:"permits"`
	// AgeMillis is how long the team's oldest work has waited; Urgent reports
	// whether urgent work of the team is waiting.
	AgeMillis int64 `json:"age"`
	Urgent    bool  `json:"urgent,omitempty"`
	// Free is the number of permits that the sender holds but does not use.
	Free int `json:"free,omitempty"`
}

// PermitTransfer carries the cumulative counts of permits sent to a member.
type PermitTransfer struct {
	Totals []permit.Total `json:"totals"`
	// SparePermits lists the permits that the sender can still transfer, by
	// team.
	SparePermits []SparePermits `json:"spare,omitempty"`
}

// Freeze requests that a member stop transfers with members that are about to
// be removed.
type Freeze struct {
	Members []string `json:"members"`
}

// Frozen replies to Freeze with the net transfers, which are final.
type Frozen struct {
	Members    []string         `json:"members"`
	Settlement table.Settlement `json:"settlement"`
}

// TaskQuery queries a member for the status of a task.
type TaskQuery struct {
	RequestID uint64 `json:"ask"`
	TaskID    string `json:"task"`
}

// TaskReply replies to TaskQuery. Found is false when the member does not own
// the task.
type TaskReply struct {
	RequestID uint64      `json:"ask"`
	Found     bool        `json:"found"`
	Status    task.Status `json:"status"`
}

// ReserveKey requests that a member record an idempotency key before its
// request runs.
type ReserveKey struct {
	RequestID uint64 `json:"ask"`
	// Hash is a hash of the team and the caller's idempotency key.
	Hash string `json:"hash"`
}

// ReserveKeyReply replies to ReserveKey. Fresh is false when the key was
// recorded before.
type ReserveKeyReply struct {
	RequestID uint64 `json:"ask"`
	Hash      string `json:"hash"`
	Fresh     bool   `json:"fresh"`
}

// KeyHandover transfers idempotency keys to a member that became a replica of
// them.
type KeyHandover struct {
	Keys []IdempotencyKey `json:"keys"`
}

// IdempotencyKey is an idempotency key that a member has recorded.
type IdempotencyKey struct {
	Hash  string `json:"h"`
	Owner string `json:"o"`
	// AgeMillis is the time since the key was recorded.
	AgeMillis int64 `json:"a"`
}

// ReleaseKey requests that a member delete the reservation of a key whose
// request is guaranteed not to have run.
type ReleaseKey struct {
	Hash string `json:"hash"`
}
