package site

import (
	"net/http"
	"time"
)

// holding is a fault in which calls to a VM get no answer and are carried out once a VM
// runs on the machine again.
type holding struct {
	// dark is set if callers see the end of the VM as silence: its connections stay open,
	// and calls that arrive while it is down are carried out as it is back.
	dark bool
	// late returns whether a start or stop that arrives until then gets no answer, and how
	// long after the VM's return it is carried out. It is called for one call at a time.
	late func() (delay time.Duration, held bool)
	// back is closed when a VM runs on the machine again, or the machine is lost.
	back chan struct{}
}

// HoldOrders starts a fault that ends with the start of the machine's next VM, or once the
// machine is lost. Starts and stops for which late says so get no answer, and are carried
// out a time after the start of that VM if it has the expected ID. If dark is set, the
// connections to the VM stay open without an answer while no VM runs, and other calls of that
// time are carried out by the next VM as it starts.
func (wor *Worker) HoldOrders(dark bool, late func() (delay time.Duration, held bool)) {
	wor.mu.Lock()
	defer wor.mu.Unlock()
	wor.endHolding()
	wor.held = &holding{dark: dark, late: late, back: make(chan struct{})}
}

// endHolding ends the fault that HoldOrders started. The lock must be held.
func (wor *Worker) endHolding() {
	if wor.held != nil {
		close(wor.held.back)
		wor.held = nil
	}
}

// holdCall holds a call back if a fault of HoldOrders does so. A call that gets no answer
// doesn't return. The lock must be held.
func (wor *Worker) holdCall(req *http.Request, ord order) {
	hel := wor.held
	if hel == nil {
		return
	}
	if req.URL.Path != "/hold" {
		if delay, ok := hel.late(); ok {
			go wor.carryOutLate(hel, delay, req.URL.Path, req.Header.Get("X-Expected-Instance"), ord)
			wor.mu.Unlock()
			<-req.Context().Done()
			wor.mu.Lock()
			panic(http.ErrAbortHandler)
		}
	}
	if hel.dark && wor.state != machineUp {
		wor.mu.Unlock()
		<-hel.back
		wor.mu.Lock()
	}
}

// carryOutLate carries out an order some time after a VM runs on the machine again.
func (wor *Worker) carryOutLate(hel *holding, delay time.Duration, path, expectedID string, ord order) {
	<-hel.back
	time.Sleep(delay)
	wor.mu.Lock()
	defer wor.mu.Unlock()
	if wor.state == machineUp {
		wor.carryOut(noAnswer{}, path, expectedID, ord)
	}
}

// abort ends the connection of a call whose VM has ended: at once, or in the dark only once a
// VM runs on the machine again. The lock must be held.
func (wor *Worker) abort(req *http.Request) {
	if hel := wor.held; hel != nil && hel.dark {
		wor.mu.Unlock()
		select {
		case <-hel.back:
		case <-req.Context().Done():
		}
		wor.mu.Lock()
	}
	panic(http.ErrAbortHandler)
}

// Lose ends the current incarnation, if there is one, with all its runs. No VM runs on the
// machine any more, and the list of machines doesn't show it.
func (wor *Worker) Lose() {
	wor.mu.Lock()
	defer wor.mu.Unlock()
	wor.lost = true
	if wor.state == machineUp {
		wor.end(machineDown)
	}
	wor.endHolding()
}

// isLost reports whether the machine is lost.
func (wor *Worker) isLost() bool {
	wor.mu.Lock()
	defer wor.mu.Unlock()
	return wor.lost
}
