package manager

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/catalog"
	"github.com/balsamgauge/balsamgauge/internal/core/duty"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/packed"
	"github.com/balsamgauge/balsamgauge/internal/core/scheduler"
	"github.com/balsamgauge/balsamgauge/internal/decisionlog"
	"github.com/balsamgauge/balsamgauge/internal/kv"
	"github.com/vmihailenco/msgpack/v5"
)

// loadKey is the key of the dispatcher's load.
const loadKey = duty.Prefix + "load"

func encodeLoad(loa scheduler.Load) (raw []byte, err error) {
	raw, err = msgpack.Marshal(&loa)
	if err != nil {
		return nil, fmt.Errorf("encode load: %w", err)
	}
	return raw, nil
}

// loadView is the dispatcher's load as last read by this process. It is safe
// for concurrent use.
type loadView struct {
	log *decisionlog.Log
	now func() time.Time

	mu   sync.Mutex
	load scheduler.Load
	read time.Time
}

func (lov *loadView) change(itm kv.Item) {
	var loa scheduler.Load
	if err := packed.Unmarshal(itm.Value, &loa); err != nil {
		lov.log.Ignored(itm.Key, int64(itm.Revision), err)
		return
	}
	lov.mu.Lock()
	defer lov.mu.Unlock()
	lov.load, lov.read = loa, lov.now()
}

// maxLoadAge is the age beyond which a load is no longer used to refuse jobs.
const maxLoadAge = 2500 * time.Millisecond

// admit decides whether a queue admits a job: it returns an empty reason if so,
// and otherwise the retry delay and the reason. Without a recent load it admits
// all.
func (lov *loadView) admit(now time.Time, que *catalog.Queue, spe job.Spec) (after time.Duration, reason string) {
	lov.mu.Lock()
	defer lov.mu.Unlock()
	if now.Sub(lov.read) > maxLoadAge {
		return 0, ""
	}
	return lov.load.Admit(que, spe)
}

var errNoLoad = errors.New("no dispatcher has written its load yet")

// pending returns the number of a queue's jobs that have not begun.
func (lov *loadView) pending(_ context.Context, queue string) (count int, err error) {
	lov.mu.Lock()
	defer lov.mu.Unlock()
	if lov.read.IsZero() {
		return 0, errNoLoad
	}
	return lov.load.Pending[queue], nil
}
