package runner

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// timedEvents contains one event of each type.
var timedEvents = []event.Event{
	event.AcceptingStopped{}, event.AttemptEnded{}, event.VMsListed{}, event.MembersGone{}, event.ChangeRequested{},
	event.PeerDown{}, event.MessageReceived{}, event.PeerUp{}, event.RequestArrived{}, event.RequestCancelled{},
	event.ShutdownRequested{}, event.Started{}, event.StatusRequested{}, event.StoreCallEnded{}, event.StoreChanged{},
	event.TaskQueried{}, event.TaskCancelled{}, event.TaskStartEnded{}, event.TaskSubmitted{}, event.Tick{},
	event.WorkerReported{},
}

// TestTimerNames guards against a metric that is renamed with its event type.
func TestTimerNames(t *testing.T) {
	rnr := &Runner{registry: metrics.NewRegistry(), timers: map[reflect.Type]metrics.Timer{}}
	var names []string
	for _, evt := range timedEvents {
		timer := rnr.timerOf(evt)
		rnr.registry.Each(func(name string, registered any) {
			if registered == any(timer) {
				names = append(names, name)
			}
		})
	}
	golden.Assert(t, strings.Join(names, "\n")+"\n", "timers.golden")
}

// TestTimerNamesCoverAllEvents counts the event types in the source, so that
// timedEvents can't miss a new one.
func TestTimerNamesCoverAllEvents(t *testing.T) {
	paths, err := filepath.Glob("../core/event/*.go")
	assert.NilError(t, err)
	count := 0
	for _, path := range paths {
		src, err := os.ReadFile(path)
		assert.NilError(t, err)
		file, err := parser.ParseFile(token.NewFileSet(), path, src, 0)
		assert.NilError(t, err)
		for _, decl := range file.Decls {
			if fun, ok := decl.(*ast.FuncDecl); ok && fun.Recv != nil && fun.Name.Name == "isEvent" {
				count++
			}
		}
	}
	assert.Equal(t, count, len(timedEvents))
}
