package follow

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/decisionlog"
	"github.com/balsamgauge/balsamgauge/internal/kv"
	"gotest.tools/v3/assert"
)

// linkedStore holds one key and keeps all its versions. Its answers take as long
// as the link needs for their values.
type linkedStore struct {
	kv.Store
	// bytesPerSecond is the bandwidth of the link.
	bytesPerSecond int
	// versions holds the item at each revision, from revision 1.
	versions []kv.Item
	// silent is the number of further watches that get no answer, as on a silent
	// connection or while the store drops its history.
	silent int
	lists  int
}

const linkedKey = "op/config"

func (sto *linkedStore) put(value []byte) {
	rev := kv.Revision(len(sto.versions) + 1)
	sto.versions = append(sto.versions, kv.Item{Key: linkedKey, Value: value, Revision: rev})
}

func (sto *linkedStore) revision() kv.Revision { return kv.Revision(len(sto.versions)) }

func (sto *linkedStore) transfer(items []kv.Item) {
	size := 0
	for _, itm := range items {
		size += len(itm.Value)
	}
	time.Sleep(time.Duration(size) * time.Second / time.Duration(sto.bytesPerSecond))
}

func (sto *linkedStore) Range(context.Context, string, string) (kv.Page, error) {
	sto.lists++
	pag := kv.Page{Items: sto.versions[len(sto.versions)-1:], Revision: sto.revision()}
	sto.transfer(pag.Items)
	return pag, nil
}

// watchSlack is how long after its wait has passed an unanswered watch fails.
const watchSlack = 400 * time.Millisecond

func (sto *linkedStore) Watch(ctx context.Context, _ string, after kv.Revision, wait time.Duration) (kv.Batch, error) {
	if sto.silent > 0 {
		sto.silent--
		time.Sleep(wait + watchSlack)
		return kv.Batch{}, kv.ErrUnknown
	}
	for end := time.Now().Add(wait); sto.revision() == after && time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(time.Millisecond)
	}
	bat := kv.Batch{Revision: sto.revision()}
	changes := sto.versions[after:]
	sto.transfer(changes)
	for _, itm := range changes {
		bat.Changes = append(bat.Changes, kv.Change{Item: itm})
	}
	return bat, nil
}

// followLinked follows a store for as long as change runs and returns the longest
// time for which nothing was confirmed.
func followLinked(log *decisionlog.Log, sto *linkedStore, change func()) (longest time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	confirmed := time.Now()
	note := func() { longest = max(longest, time.Since(confirmed)) }
	fol := &Follower{
		Store: sto, Prefix: "op/", Wait: 700 * time.Millisecond, ListAfterFailure: true, Log: log, Now: time.Now,
		Reset: func([]kv.Item) {}, Change: func(kv.Change) {},
		Confirmed: func(sent time.Time) { note(); confirmed = sent },
	}
	go func() { defer close(done); fol.Run(ctx) }()
	change()
	cancel()
	<-done
	note()
	return longest
}

// TestChangesFasterThanLink guards against a follower that falls further behind
// with each change, because each answer holds all versions since the last one
// and arrives more slowly than the versions are written.
func TestChangesFasterThanLink(t *testing.T) {
	log := decisionlog.New(io.Discard, "test", time.Now)
	synctest.Test(t, func(t *testing.T) {
		const configApply = 3 * time.Second
		sto := &linkedStore{bytesPerSecond: 1_250_000}
		large := []byte(strings.Repeat("x", 480_000))
		sto.put(large)
		longest := followLinked(log, sto, func() {
			for range 60 {
				time.Sleep(300 * time.Millisecond)
				sto.put(large)
			}
		})
		assert.Assert(t, longest < configApply, "nothing was confirmed for %s", longest)
	})
}

// TestSmallChangesAreWatched checks that changes of small values cause no lists.
func TestSmallChangesAreWatched(t *testing.T) {
	log := decisionlog.New(io.Discard, "test", time.Now)
	synctest.Test(t, func(t *testing.T) {
		sto := &linkedStore{bytesPerSecond: 1_250_000}
		sto.put([]byte("x"))
		followLinked(log, sto, func() {
			for range 200 {
				sto.put([]byte("y"))
				sto.put([]byte("z"))
				time.Sleep(10 * time.Millisecond)
			}
		})
		assert.Equal(t, sto.lists, 1)
	})
}

// TestViewAfterSilentWatch guards against a view that stays unconfirmed for the
// wait of another watch after one that got no answer.
func TestViewAfterSilentWatch(t *testing.T) {
	log := decisionlog.New(io.Discard, "test", time.Now)
	synctest.Test(t, func(t *testing.T) {
		const configApply = 2 * time.Second
		sto := &linkedStore{bytesPerSecond: 1_250_000}
		sto.put([]byte("x"))
		longest := followLinked(log, sto, func() {
			time.Sleep(time.Second)
			sto.silent = 2
			time.Sleep(10 * time.Second)
		})
		assert.Assert(t, longest < configApply, "nothing was confirmed for %s", longest)
	})
}

// unreadableStore is a store whose watches from its first revision on can't be
// decoded.
type unreadableStore struct {
	kv.Store
	lists, watches int
}

func (sto *unreadableStore) Range(context.Context, string, string) (kv.Page, error) {
	sto.lists++
	return kv.Page{Items: []kv.Item{{Key: "servers/vm", Revision: kv.Revision(sto.lists)}}, Revision: kv.Revision(sto.lists)}, nil
}

func (sto *unreadableStore) Watch(_ context.Context, _ string, after kv.Revision, wait time.Duration) (kv.Batch, error) {
	sto.watches++
	if after == 1 {
		time.Sleep(time.Millisecond)
		return kv.Batch{}, errors.Join(kv.ErrUnknown, kv.ErrUnreadable)
	}
	time.Sleep(wait)
	return kv.Batch{Revision: after}, nil
}

// TestUnreadableChange guards against a follower that repeats a watch for ever
// whose answer can't be decoded.
func TestUnreadableChange(t *testing.T) {
	log := decisionlog.New(io.Discard, "test", time.Now)
	synctest.Test(t, func(t *testing.T) {
		sto := &unreadableStore{}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		resets := 0
		fol := &Follower{
			Store: sto, Prefix: "servers/", Wait: 300 * time.Millisecond, Log: log, Now: time.Now,
			Reset: func([]kv.Item) { resets++ }, Change: func(kv.Change) {},
		}
		fol.Run(ctx)
		assert.Equal(t, sto.lists, 2)
		assert.Equal(t, resets, 2)
		assert.Assert(t, sto.watches < 50, "%d watches in 10 s", sto.watches)
	})
}
