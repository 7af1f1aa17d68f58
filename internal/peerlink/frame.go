package peerlink

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/balsamgauge/balsamgauge/internal/core/packed"
	"github.com/balsamgauge/balsamgauge/internal/timeline"
	"github.com/vmihailenco/msgpack/v5"
)

// Sizes of a frame, in bytes.
const (
	// headerBytes is the size of the length and the stamp.
	headerBytes = 12
	stampBytes  = 8
	// MaxPayloadBytes is the largest payload. A configuration as large as the
	// store can hold fits into one.
	MaxPayloadBytes = 1 << 20
	// maxHelloBytes is the largest payload of the handshake.
	maxHelloBytes = 4 << 10
)

// Version is the version of the protocol. Entries of different versions do not
// connect to each other.
const Version = 1

// Hello is the handshake message, the first payload in each direction of a
// connection.
type Hello struct {
	Version int    `json:"version"`
	Region  string `json:"region"`
	ID      string `json:"id"`
	AZ      string `json:"az"`
	// Address is the address on which the sender accepts connections.
	Address string `json:"address"`
}

func writeFrame(out io.Writer, stm timeline.Stamp, payload []byte) error {
	if len(payload) > MaxPayloadBytes {
		return fmt.Errorf("payload of %d bytes exceeds the limit of %d bytes", len(payload), MaxPayloadBytes)
	}
	frame := make([]byte, headerBytes, headerBytes+len(payload))
	binary.BigEndian.PutUint32(frame, uint32(stampBytes+len(payload)))
	binary.BigEndian.PutUint64(frame[4:], uint64(stm))
	_, err := out.Write(append(frame, payload...))
	return err
}

// readFrame reads a frame whose payload is at most limit bytes. It allocates
// memory as data arrives, not by the length that the frame declares.
func readFrame(inp io.Reader, limit int) (stm timeline.Stamp, payload []byte, err error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(inp, header[:]); err != nil {
		return 0, nil, err
	}
	size := int64(binary.BigEndian.Uint32(header[:]))
	if size < stampBytes || size > int64(limit+stampBytes) {
		return 0, nil, fmt.Errorf("invalid frame length of %d bytes", size)
	}
	stm = timeline.Stamp(binary.BigEndian.Uint64(header[4:]))
	if size == stampBytes {
		return stm, nil, nil
	}
	var buf bytes.Buffer
	if _, err := io.CopyN(&buf, inp, size-stampBytes); err != nil {
		return 0, nil, err
	}
	return stm, buf.Bytes(), nil
}

// writeHello writes a handshake message, encoded as MessagePack.
func writeHello(out io.Writer, stm timeline.Stamp, hel Hello) error {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.SetCustomStructTag("json")
	if err := enc.Encode(hel); err != nil {
		return err
	}
	return writeFrame(out, stm, buf.Bytes())
}

// readHello reads a handshake message and checks that the peer is compatible.
func readHello(inp io.Reader, region string) (stm timeline.Stamp, hel Hello, err error) {
	stm, payload, err := readFrame(inp, maxHelloBytes)
	if err != nil {
		return 0, Hello{}, err
	}
	if err := packed.UnmarshalTagged(payload, "json", &hel); err != nil {
		return 0, Hello{}, err
	}
	switch {
	case hel.Version != Version:
		return 0, Hello{}, fmt.Errorf("peer has protocol version %d, want %d", hel.Version, Version)
	case hel.Region != region:
		return 0, Hello{}, fmt.Errorf("peer is in region %q, want %q", hel.Region, region)
	case hel.ID == "" || hel.Address == "":
		return 0, Hello{}, errors.New("peer sent no ID or no address")
	}
	return stm, hel, nil
}
