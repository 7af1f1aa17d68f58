// Package message defines what entries send each other, and how it is written
// on the wire with msgpack.
//
// The messages are a closed set behind Message. Each may be lost, repeated or
// late: what matters travels as cumulative counters, whole reports or
// revisions, so that hearing a message twice changes nothing.
package message

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/balsamgauge/balsamgauge/internal/core/permit"
	"github.com/balsamgauge/balsamgauge/internal/core/task"
	"github.com/balsamgauge/balsamgauge/pkg/table"
	"github.com/vmihailenco/msgpack/v5"
)

// A Message is one thing that an entry tells another.
type Message interface {
	isMessage()
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
	Spare []Spare `json:"spare,omitempty"`
	// SeenLeaving lists VMs that the sender saw leaving.
	SeenLeaving []string `json:"seen_leaving,omitempty"`
	// Gone lists voters that the sender knows to run no more.
	Gone []string `json:"gone,omitempty"`
}

// Spare is how many of a team's permits a member could give away.
type Spare struct {
	Team    string `json:"team"`
	Permits int    `json:"permits"`
}

// Edits carries consecutive changes of the configuration.
type Edits struct {
	Edits []table.Edit `json:"edits"`
}

// SnapshotAsk asks for the whole configuration, by a peer whose own is older
// than the changes that are kept.
type SnapshotAsk struct {
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
}

// Running is how much work of a team an entry has running on a VM.
type Running struct {
	VM     string `json:"v"`
	Team   string `json:"t"`
	Urgent bool   `json:"u,omitempty"`
	Count  int    `json:"c"`
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
}

// Recall asks an entry not to use slots for the next work of a team, but to
// give them back as they become free.
type Recall struct {
	Pool  string       `json:"pool"`
	Slots []RecallSlot `json:"slots"`
}

// RecallSlot is how many slots of a team are wanted back.
type RecallSlot struct {
	Team   string `json:"t"`
	Urgent bool   `json:"u,omitempty"`
	Count  int    `json:"c"`
}

// PermitAsk asks for permits of a team.
type PermitAsk struct {
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
	Spare []Spare `json:"spare,omitempty"`
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

// TaskAsk asks whether a member holds a task.
type TaskAsk struct {
	AskID  uint64 `json:"ask"`
	TaskID string `json:"task"`
}

// TaskTold answers TaskAsk. Found is false when the member does not hold it.
type TaskTold struct {
	AskID  uint64      `json:"ask"`
	Found  bool        `json:"found"`
	Status task.Status `json:"status"`
}

// Reserve asks a member to remember that a request with an idempotency key is
// about to run.
type Reserve struct {
	AskID uint64 `json:"ask"`
	// Hash covers the team and the caller's idempotency key.
	Hash string `json:"hash"`
}

// Reserved answers Reserve. Fresh is false when the key was seen before.
type Reserved struct {
	AskID uint64 `json:"ask"`
	Hash  string `json:"hash"`
	Fresh bool   `json:"fresh"`
}

// Release asks a member to forget a reservation, because the request was
// certainly not run.
type Release struct {
	Hash string `json:"hash"`
}

func (Heartbeat) isMessage()      {}
func (Edits) isMessage()          {}
func (SnapshotAsk) isMessage()    {}
func (Snapshot) isMessage()       {}
func (Demand) isMessage()         {}
func (Grants) isMessage()         {}
func (PermitAsk) isMessage()      {}
func (PermitTransfer) isMessage() {}
func (Freeze) isMessage()         {}
func (Frozen) isMessage()         {}
func (TaskAsk) isMessage()        {}
func (TaskTold) isMessage()       {}
func (Reserve) isMessage()        {}
func (Reserved) isMessage()       {}
func (Release) isMessage()        {}
func (Recall) isMessage()         {}

// kind is the number that stands for a message's type on the wire. Numbers are
// never used again for another type.
type kind uint8

const (
	kindHeartbeat kind = iota + 1
	kindEdits
	kindSnapshotAsk
	kindSnapshot
	kindDemand
	kindGrants
	kindPermitAsk
	kindPermitTransfer
	kindFreeze
	kindFrozen
	kindTaskAsk
	kindTaskTold
	kindReserve
	kindReserved
	kindRelease
	kindRecall
)

func kindOf(msg Message) kind {
	switch msg.(type) {
	case Heartbeat:
		return kindHeartbeat
	case Edits:
		return kindEdits
	case SnapshotAsk:
		return kindSnapshotAsk
	case Snapshot:
		return kindSnapshot
	case Demand:
		return kindDemand
	case Grants:
		return kindGrants
	case PermitAsk:
		return kindPermitAsk
	case PermitTransfer:
		return kindPermitTransfer
	case Freeze:
		return kindFreeze
	case Frozen:
		return kindFrozen
	case TaskAsk:
		return kindTaskAsk
	case TaskTold:
		return kindTaskTold
	case Reserve:
		return kindReserve
	case Reserved:
		return kindReserved
	case Release:
		return kindRelease
	case Recall:
		return kindRecall
	default:
		return 0
	}
}

// Encode writes a message: one byte for its type, then its fields.
func Encode(msg Message) (data []byte, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("encode %T: %w", msg, err)
		}
	}()
	knd := kindOf(msg)
	if knd == 0 {
		return nil, errors.New("unknown type")
	}
	var buf bytes.Buffer
	buf.WriteByte(byte(knd))
	enc := msgpack.NewEncoder(&buf)
	enc.SetCustomStructTag("json")
	enc.SetOmitEmpty(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(msg); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// Decode reads what Encode wrote.
func Decode(data []byte) (msg Message, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("decode message: %w", err)
		}
	}()
	if len(data) == 0 {
		return nil, errors.New("empty")
	}
	decode, ok := decoders[kind(data[0])]
	if !ok {
		return nil, fmt.Errorf("unknown type %d", data[0])
	}
	return decode(data[1:])
}

// decoders holds how the fields of each type are read.
var decoders = map[kind]func(body []byte) (Message, error){
	kindHeartbeat:      decodeAs[Heartbeat],
	kindEdits:          decodeAs[Edits],
	kindSnapshotAsk:    decodeAs[SnapshotAsk],
	kindSnapshot:       decodeAs[Snapshot],
	kindDemand:         decodeAs[Demand],
	kindGrants:         decodeAs[Grants],
	kindPermitAsk:      decodeAs[PermitAsk],
	kindPermitTransfer: decodeAs[PermitTransfer],
	kindFreeze:         decodeAs[Freeze],
	kindFrozen:         decodeAs[Frozen],
	kindTaskAsk:        decodeAs[TaskAsk],
	kindTaskTold:       decodeAs[TaskTold],
	kindReserve:        decodeAs[Reserve],
	kindReserved:       decodeAs[Reserved],
	kindRelease:        decodeAs[Release],
	kindRecall:         decodeAs[Recall],
}

func decodeAs[M Message](body []byte) (msg Message, err error) {
	var val M
	dec := msgpack.NewDecoder(bytes.NewReader(body))
	dec.SetCustomStructTag("json")
	if err := dec.Decode(&val); err != nil {
		return nil, err
	}
	return val, nil
}
