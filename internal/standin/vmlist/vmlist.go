// Package vmlist is a stand-in for the platform's list of VMs, which tells a
// change only after a while.
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
	// changes are in the order of their times.
	changes []change
}

type change struct {
	at   time.Time
	id   string
	one  vm.VM
	gone bool
}

// New returns an empty list that tells each change after a lag.
func New(lag time.Duration) *List {
	return &List{lag: lag}
}

// Put adds or replaces a VM.
func (lst *List) Put(one vm.VM) {
	lst.mu.Lock()
	defer lst.mu.Unlock()
	lst.changes = append(lst.changes, change{at: time.Now(), id: one.ID, one: one})
}

// Remove takes a VM off the list.
func (lst *List) Remove(id string) {
	lst.mu.Lock()
	defer lst.mu.Unlock()
	lst.changes = append(lst.changes, change{at: time.Now(), id: id, gone: true})
}

// VMs returns the list as the platform tells it at a time.
func (lst *List) VMs(now time.Time) []vm.VM {
	lst.mu.Lock()
	defer lst.mu.Unlock()
	told := map[string]vm.VM{}
	for _, chg := range lst.changes {
		if now.Sub(chg.at) < lst.lag {
			continue
		}
		if chg.gone {
			delete(told, chg.id)
		} else {
			told[chg.id] = chg.one
		}
	}
	vms := make([]vm.VM, 0, len(told))
	for _, one := range told {
		vms = append(vms, one)
	}
	slices.SortFunc(vms, func(a, b vm.VM) int { return strings.Compare(a.ID, b.ID) })
	return vms
}

// Handler serves the list.
func (lst *List) Handler() http.Handler {
	return http.HandlerFunc(func(wrt http.ResponseWriter, _ *http.Request) {
		wrt.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(wrt).Encode(vmlist.List{VMs: lst.VMs(time.Now())})
	})
}
