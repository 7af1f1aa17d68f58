package timeline

import (
	"cmp"
	"slices"
	"sync"
)

// Event is a recorded event of a process.
type Event struct {
	Stamp Stamp `json:"stamp"`
	// Entry is the ID of the process. Stamps of one entry are unique.
	Entry string `json:"entry"`
	// Part is the component of the process that recorded the event.
	Part    string `json:"part"`
	Name    string `json:"name"`
	Subject string `json:"subject,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// Ring is a ring buffer of the latest events of a process. It is safe for
// concurrent use.
type Ring struct {
	mu sync.Mutex
	// events holds at most size events. When it is full, next is the index of the
	// oldest, which is overwritten next.
	events []Event
	size   int
	next   int
}

// NewRing returns a ring that holds up to size events.
func NewRing(size int) *Ring {
	return &Ring{size: size}
}

// Add adds an event. It overwrites the oldest one when the ring is full.
func (rng *Ring) Add(evt Event) {
	rng.mu.Lock()
	defer rng.mu.Unlock()
	if len(rng.events) < rng.size {
		rng.events = append(rng.events, evt)
		return
	}
	rng.events[rng.next] = evt
	rng.next = (rng.next + 1) % rng.size
}

// Events returns the events sorted by stamp.
func (rng *Ring) Events() []Event {
	rng.mu.Lock()
	defer rng.mu.Unlock()
	evts := append(slices.Clone(rng.events[rng.next:]), rng.events[:rng.next]...)
	return Merge(evts)
}

// Merge returns the events of several processes sorted by stamp, then by entry.
// Duplicates are removed.
func Merge(lists ...[]Event) []Event {
	var all []Event
	for _, list := range lists {
		all = append(all, list...)
	}
	slices.SortFunc(all, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(a.Entry, b.Entry))
	})
	return slices.Compact(all)
}
