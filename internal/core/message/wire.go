package message

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/balsamgauge/balsamgauge/internal/core/packed"
	"github.com/vmihailenco/msgpack/v5"
)

// kind identifies the type of a message on the wire. A number is never reused
// for another type.
type kind uint8

const (
	kindHeartbeat kind = iota + 1
	kindEdits
	kindSnapshotRequest
	kindSnapshot
	kindDemand
	kindGrants
	kindPermitRequest
	kindPermitTransfer
	kindFreeze
	kindFrozen
	kindTaskQuery
	kindTaskReply
	kindReserveKey
	kindReserveKeyReply
	kindReleaseKey
	kindRecall
	kindKeyHandover
)

func (Heartbeat) kind() kind       { return kindHeartbeat }
func (Edits) kind() kind           { return kindEdits }
func (SnapshotRequest) kind() kind { return kindSnapshotRequest }
func (Snapshot) kind() kind        { return kindSnapshot }
func (Demand) kind() kind          { return kindDemand }
func (Grants) kind() kind          { return kindGrants }
func (PermitRequest) kind() kind   { return kindPermitRequest }
func (PermitTransfer) kind() kind  { return kindPermitTransfer }
func (Freeze) kind() kind          { return kindFreeze }
func (Frozen) kind() kind          { return kindFrozen }
func (TaskQuery) kind() kind       { return kindTaskQuery }
func (TaskReply) kind() kind       { return kindTaskReply }
func (ReserveKey) kind() kind      { return kindReserveKey }
func (ReserveKeyReply) kind() kind { return kindReserveKeyReply }
func (ReleaseKey) kind() kind      { return kindReleaseKey }
func (Recall) kind() kind          { return kindRecall }
func (KeyHandover) kind() kind     { return kindKeyHandover }

// Encode returns a message as one byte for its type, followed by its fields in
// msgpack.
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

// Decode returns the message that Encode encoded.
func Decode(data []byte) (msg Message, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("decode message: %w", err)
		}
	}()
	if len(data) == 0 {
		return nil, errors.New("empty message")
	}
	decode, ok := decoders[kind(data[0])]
	if !ok {
		return nil, fmt.Errorf("unknown message type %d", data[0])
	}
	return decode(data[1:])
}

// decoders maps each type of message to the decoder of its fields.
var decoders = map[kind]func(body []byte) (Message, error){
	kindHeartbeat:       decodeAs[Heartbeat],
	kindEdits:           decodeAs[Edits],
	kindSnapshotRequest: decodeAs[SnapshotRequest],
	kindSnapshot:        decodeAs[Snapshot],
	kindDemand:          decodeAs[Demand],
	kindGrants:          decodeAs[Grants],
	kindPermitRequest:   decodeAs[PermitRequest],
	kindPermitTransfer:  decodeAs[PermitTransfer],
	kindFreeze:          decodeAs[Freeze],
	kindFrozen:          decodeAs[Frozen],
	kindTaskQuery:       decodeAs[TaskQuery],
	kindTaskReply:       decodeAs[TaskReply],
	kindReserveKey:      decodeAs[ReserveKey],
	kindReserveKeyReply: decodeAs[ReserveKeyReply],
	kindReleaseKey:      decodeAs[ReleaseKey],
	kindRecall:          decodeAs[Recall],
	kindKeyHandover:     decodeAs[KeyHandover],
}

func decodeAs[M Message](body []byte) (msg Message, err error) {
	var val M
	if err := packed.UnmarshalTagged(body, "json", &val); err != nil {
		return nil, err
	}
	return val, nil
}
