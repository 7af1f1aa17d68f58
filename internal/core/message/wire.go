package message

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

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
	kindKeep
)

func (Heartbeat) kind() kind       { return kindHeartbeat }
func (Edits) kind() kind           { return kindEdits }
func (SnapshotRequest) kind() kind { return kindSnapshotAsk }
func (Snapshot) kind() kind        { return kindSnapshot }
func (Demand) kind() kind          { return kindDemand }
func (Grants) kind() kind          { return kindGrants }
func (PermitRequest) kind() kind   { return kindPermitAsk }
func (PermitTransfer) kind() kind  { return kindPermitTransfer }
func (Freeze) kind() kind          { return kindFreeze }
func (Frozen) kind() kind          { return kindFrozen }
func (TaskQuery) kind() kind       { return kindTaskAsk }
func (TaskReply) kind() kind       { return kindTaskTold }
func (ReserveKey) kind() kind      { return kindReserve }
func (ReserveKeyReply) kind() kind { return kindReserved }
func (ReleaseKey) kind() kind      { return kindRelease }
func (Recall) kind() kind          { return kindRecall }
func (KeyHandover) kind() kind     { return kindKeep }

// Encode writes a message: one byte for its type, then its fields.
func Encode(msg Message) (data []byte, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("encode %T: %w", msg, err)
		}
	}()
	var buf bytes.Buffer
	buf.WriteByte(byte(msg.kind()))
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
	if err := checkShape(data[1:]); err != nil {
		return nil, err
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
	kindSnapshotAsk:    decodeAs[SnapshotRequest],
	kindSnapshot:       decodeAs[Snapshot],
	kindDemand:         decodeAs[Demand],
	kindGrants:         decodeAs[Grants],
	kindPermitAsk:      decodeAs[PermitRequest],
	kindPermitTransfer: decodeAs[PermitTransfer],
	kindFreeze:         decodeAs[Freeze],
	kindFrozen:         decodeAs[Frozen],
	kindTaskAsk:        decodeAs[TaskQuery],
	kindTaskTold:       decodeAs[TaskReply],
	kindReserve:        decodeAs[ReserveKey],
	kindReserved:       decodeAs[ReserveKeyReply],
	kindRelease:        decodeAs[ReleaseKey],
	kindRecall:         decodeAs[Recall],
	kindKeep:           decodeAs[KeyHandover],
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
