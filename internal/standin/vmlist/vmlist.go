// Package vmlist is a stand-in for the platform's list of VMs, which shows each
// change only after a delay.
package vmlist

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/vm"
	"github.com/balsamgauge/balsamgauge/internal/vmlist"
)

// List is the stand-in. It is safe for concurrent use.
type List struct {
	lag time.Duration

	mu sync.Mutex
	// changes holds all changes, oldest first.
	changes []change
}

// change is an added, replaced or removed VM.
type change struct {
	at      time.Time
	id      string
	desc    vm.VM
	removed bool
}

// New returns an empty list that shows each change after a lag.
func New(lag time.Duration) *List {
	return &List{lag: lag}
}

// Put adds or replaces a VM.
func (lst *List) Put(desc vm.VM) {
	lst.mu.Lock()
	defer lst.mu.Unlock()
	lst.changes = append(lst.changes, change{at: time.Now(), id: desc.ID, desc: desc})
}

// Remove removes a VM from the list.
func (lst *List) Remove(id string) {
	lst.mu.Lock()
	defer lst.mu.Unlock()
	lst.changes = append(lst.changes, change{at: time.Now(), id: id, removed: true})
}

// VMs returns the VMs that the list shows at a time, sorted by ID.
func (lst *List) VMs(now time.Time) []vm.VM {
	lst.mu.Lock()
	defer lst.mu.Unlock()
	visible := map[string]vm.VM{}
	for _, chg := range lst.changes {
		if now.Sub(chg.at) < lst.lag {
			continue
		}
		if chg.removed {
			delete(visible, chg.id)
		} else {
			visible[chg.id] = chg.desc
		}
	}
	vms := make([]vm.VM, 0, len(visible))
	for _, desc := range visible {
		vms = append(vms, desc)
	}
	slices.SortFunc(vms, func(a, b vm.VM) int { return strings.Compare(a.ID, b.ID) })
	return vms
}

// Handler returns the handler that serves the list.
func (lst *List) Handler() http.Handler {
	return http.HandlerFunc(func(wrt http.ResponseWriter, _ *http.Request) {
		wrt.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(wrt).Encode(vmlist.List{VMs: lst.VMs(time.Now())})
	})
}
