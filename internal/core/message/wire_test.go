package message_test

import (
	"bytes"
	"testing"

	"github.com/balsamgauge/balsamgauge/internal/core/message"
	"github.com/balsamgauge/balsamgauge/internal/core/permit"
	"github.com/balsamgauge/balsamgauge/pkg/table"
	"gotest.tools/v3/assert"
)

// samples holds one message of each type.
var samples = []message.Message{
	message.Heartbeat{Revision: 3, AZ: "a", SentNanos: 5, Echo: 4, SparePermits: []message.SparePermits{{Team: "t", Permits: 2}}},
	message.Edits{Edits: []table.Edit{table.NewEdit(4, "n", table.AZSet{AZ: "a", Out: true})}},
	message.SnapshotRequest{Have: 2},
	message.Snapshot{Config: []byte("{}")},
	message.Demand{Pool: "p", Acknowledged: 7, Lanes: []message.LaneDemand{{Team: "t", Urgency: table.UrgencyUrgent, Waiting: 3, AgeMillis: 9}}},
	message.Grants{Pool: "p", Grants: []message.Grant{{Seq: 8, VM: "v", Team: "t", Urgency: table.UrgencyNormal}}},
	message.Recall{Pool: "p", Slots: []message.RecallSlot{{Team: "t", Count: 1}}},
	message.PermitRequest{Team: "t", Permits: 2, AgeMillis: 5, Urgent: true},
	message.PermitTransfer{Totals: []permit.Total{{Team: "t", Count: 9}}},
	message.Freeze{Members: []string{"m"}},
	message.Frozen{Members: []string{"m"}, Settlement: table.Settlement{Member: "k", Net: []table.TeamPermits{{Team: "t", Permits: -1}}}},
	message.TaskQuery{RequestID: 1, TaskID: "e.1"},
	message.TaskReply{RequestID: 1, Found: true},
	message.ReserveKey{RequestID: 2, Hash: "h"},
	message.ReserveKeyReply{RequestID: 2, Hash: "h", Fresh: true},
	message.ReleaseKey{Hash: "h"},
	message.KeyHandover{Keys: []message.IdempotencyKey{{Hash: "h", Owner: "m", AgeMillis: 3}}},
}

func TestRoundTrip(t *testing.T) {
	for _, msg := range samples {
		data, err := message.Encode(msg)
		assert.NilError(t, err)
		back, err := message.Decode(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, back, msg)
	}
}

// TestSizes bounds the encoded size of the messages that are sent for each
// request and each heartbeat.
func TestSizes(t *testing.T) {
	bounds := map[string]int{"heartbeat": 64, "demand": 64, "grants": 64}
	for name, msg := range map[string]message.Message{"heartbeat": samples[0], "demand": samples[4], "grants": samples[5]} {
		data, err := message.Encode(msg)
		assert.NilError(t, err)
		assert.Assert(t, len(data) <= bounds[name], "%s: encoded size is %d bytes", name, len(data))
	}
}

// FuzzDecode covers input from a faulty or malicious peer: decoding must not
// panic, and a decoded message must survive another round trip.
func FuzzDecode(f *testing.F) {
	for _, msg := range samples {
		data, err := message.Encode(msg)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Add([]byte{})
	f.Add([]byte{5, 0x81, 0xa5, 'l', 'a', 'n', 'e', 's', 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		msg, err := message.Decode(data)
		if err != nil {
			return
		}
		again, err := message.Encode(msg)
		if err != nil {
			t.Fatalf("encode decoded %T: %v", msg, err)
		}
		back, err := message.Decode(again)
		if err != nil {
			t.Fatalf("decode encoded %T: %v", msg, err)
		}
		third, err := message.Encode(back)
		if err != nil || !bytes.Equal(again, third) {
			t.Fatalf("%T changes in a second round trip: %v", msg, err)
		}
	})
}
