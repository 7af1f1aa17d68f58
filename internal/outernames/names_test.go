package outernames_test

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/balsamgauge/balsamgauge/internal/advisory"
	"github.com/balsamgauge/balsamgauge/internal/core/duty"
	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/message"
	"github.com/balsamgauge/balsamgauge/internal/core/progress"
	"github.com/balsamgauge/balsamgauge/internal/core/scheduler"
	"github.com/balsamgauge/balsamgauge/internal/core/startlog"
	"github.com/balsamgauge/balsamgauge/internal/core/task"
	"github.com/balsamgauge/balsamgauge/internal/core/vm"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"github.com/balsamgauge/balsamgauge/internal/intake"
	"github.com/balsamgauge/balsamgauge/internal/peerlink"
	"github.com/balsamgauge/balsamgauge/internal/timeline"
	"github.com/balsamgauge/balsamgauge/pkg/outcome"
	"github.com/balsamgauge/balsamgauge/pkg/table"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// encoded lists the types that are encoded for other processes or for the
// store: the name of the record, the key of its struct tags and a value of the
// type.
var encoded = []struct {
	name, tag string
	value     any
}{
	{"store config/doc", "json", table.Config{}},
	{"store edit", "json", table.Edit{}},
	{"store job", "msgpack", job.Spec{}},
	{"store progress", "msgpack", job.Progress{}},
	{"store progress part", "msgpack", progress.Part{}},
	{"store ended", "msgpack", job.Outcome{}},
	{"store fence", "msgpack", job.Fence{}},
	{"store starts", "msgpack", startlog.Record{}},
	{"store duty/holder", "msgpack", duty.Holder{}},
	{"store duty/load", "msgpack", scheduler.Load{}},
	{"store tasks", "json", task.Record{}},
	{"callers task", "json", task.Status{}},
	{"callers refusal", "json", outcome.Refusal{}},
	{"operators status", "json", effect.Status{}},
	{"operators difference", "json", table.Difference{}},
	{"operators timeline", "json", timeline.Event{}},
	{"workers task", "json", event.WorkerTask{}},
	{"workers attempt", "json", effect.TaskAttempt{}},
	{"platform vm", "json", vm.VM{}},
	{"advisory question", "msgpack", advisory.Query{}},
	{"advisory tickets", "msgpack", advisory.Tickets{}},
	{"peers hello", "json", peerlink.Hello{}},
}

// messages contains one value of each type of message between entries.
var messages = []message.Message{
	message.Heartbeat{}, message.Edits{}, message.SnapshotRequest{}, message.Snapshot{}, message.Demand{}, message.Grants{},
	message.PermitRequest{}, message.PermitTransfer{}, message.Freeze{}, message.Frozen{}, message.TaskQuery{}, message.TaskReply{},
	message.ReserveKey{}, message.ReserveKeyReply{}, message.ReleaseKey{}, message.Recall{}, message.KeyHandover{},
}

// TestNames guards against a renamed field or a changed message number, which
// processes of another version could not decode.
func TestNames(t *testing.T) {
	var lines []string
	for _, one := range encoded {
		lines = append(lines, one.name)
		lines = append(lines, fields(reflect.TypeOf(one.value), one.tag, "\t", nil)...)
	}
	for _, msg := range messages {
		data, err := message.Encode(msg)
		assert.NilError(t, err)
		lines = append(lines, fmt.Sprintf("message %d", data[0]))
		lines = append(lines, fields(reflect.TypeOf(msg), "json", "\t", nil)...)
	}
	golden.Assert(t, strings.Join(lines, "\n")+"\n", "fields.golden")
}

// TestValues guards against renamed values in logs and metrics.
func TestValues(t *testing.T) {
	lines := slices.Concat(
		values("verdict", intake.VerdictUnknown),
		values("order", worker.ResultInvalid),
		values("machine order", worker.MachineInvalid),
	)
	golden.Assert(t, strings.Join(lines, "\n")+"\n", "values.golden")
}

// values returns a heading and the names of an enumeration's values, indented,
// from the first one, which is zero, to the last.
func values[T interface {
	~int
	fmt.Stringer
}](heading string, last T) (lines []string) {
	lines = []string{heading}
	for val := T(0); val <= last; val++ {
		lines = append(lines, "\t"+val.String())
	}
	return lines
}

// fields returns the names and kinds of a type's encoded fields. The fields of
// a nested struct follow it, indented, unless the struct is one of the enclosing
// types.
func fields(typ reflect.Type, tag, indent string, enclosing []reflect.Type) (lines []string) {
	for typ.Kind() == reflect.Pointer || typ.Kind() == reflect.Slice || typ.Kind() == reflect.Map {
		typ = typ.Elem()
	}
	if typ.Kind() != reflect.Struct || typ.PkgPath() == "time" || slices.Contains(enclosing, typ) {
		return nil
	}
	for i := range typ.NumField() {
		fie := typ.Field(i)
		if !fie.IsExported() {
			continue
		}
		name := fie.Tag.Get(tag)
		if name == "" {
			name = fie.Name
		}
		lines = append(lines, indent+name+" "+kind(fie.Type))
		lines = append(lines, fields(fie.Type, tag, indent+"\t", append(enclosing, typ))...)
	}
	return lines
}

// kind returns the kind of a type, which does not depend on the type's name.
func kind(typ reflect.Type) string {
	switch typ.Kind() {
	case reflect.Pointer:
		return kind(typ.Elem())
	case reflect.Slice:
		return "[]" + kind(typ.Elem())
	case reflect.Map:
		return "map[" + kind(typ.Key()) + "]" + kind(typ.Elem())
	default:
		return typ.Kind().String()
	}
}
