// Package queue holds the work that waits at one entry for one pool, in a lane
// for each team and urgency.
package queue

import (
	"cmp"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/work"
	"github.com/benbjohnson/immutable"
)

// Queue is the work waiting for a pool. It is immutable.
type Queue struct {
	// lanes holds no empty lane.
	lanes *immutable.SortedMap[work.Lane, lane]
	// size is the number of pieces of work in all lanes.
	size int
}

// lane is ordered by arrival.
type lane = *immutable.SortedMap[place, struct{}]

type place struct {
	arrived time.Time
	id      work.ID
}

type laneComparer struct{}

func (laneComparer) Compare(a, b work.Lane) int {
	return cmp.Or(cmp.Compare(a.Urgency.Rank(), b.Urgency.Rank()), cmp.Compare(a.Team, b.Team),
		cmp.Compare(retryRank(a), retryRank(b)))
}

// retryRank lets work that was tried before go first.
func retryRank(lan work.Lane) int {
	if lan.Retry {
		return 0
	}
	return 1
}

type placeComparer struct{}

func (placeComparer) Compare(a, b place) int {
	return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.id, b.id))
}

// New returns an empty queue.
func New() Queue {
	return Queue{lanes: immutable.NewSortedMap[work.Lane, lane](laneComparer{})}
}

// Len returns how much work waits.
func (que Queue) Len() int { return que.size }

// With returns the queue with a piece of work added.
func (que Queue) With(wrk work.Work) Queue {
	lan, ok := que.lanes.Get(wrk.Lane())
	if !ok {
		lan = immutable.NewSortedMap[place, struct{}](placeComparer{})
	}
	que.lanes = que.lanes.Set(wrk.Lane(), lan.Set(place{wrk.Arrived, wrk.ID}, struct{}{}))
	que.size++
	return que
}

// Without returns the queue with a piece of work taken out.
func (que Queue) Without(wrk work.Work) Queue {
	lan, ok := que.lanes.Get(wrk.Lane())
	if !ok {
		return que
	}
	if _, ok := lan.Get(place{wrk.Arrived, wrk.ID}); !ok {
		return que
	}
	lan = lan.Delete(place{wrk.Arrived, wrk.ID})
	if lan.Len() == 0 {
		que.lanes = que.lanes.Delete(wrk.Lane())
	} else {
		que.lanes = que.lanes.Set(wrk.Lane(), lan)
	}
	que.size--
	return que
}

// A LaneBacklog is how much work waits in a lane, and since when the oldest has.
type LaneBacklog struct {
	Lane    work.Lane
	Waiting int
	Oldest  time.Time
}

// Backlog returns the lanes, the most urgent first, then by team.
func (que Queue) Backlog() []LaneBacklog {
	counts := make([]LaneBacklog, 0, que.lanes.Len())
	itr := que.lanes.Iterator()
	for !itr.Done() {
		lan, places, _ := itr.Next()
		first := places.Iterator()
		oldest, _, _ := first.Next()
		counts = append(counts, LaneBacklog{Lane: lan, Waiting: places.Len(), Oldest: oldest.arrived})
	}
	return counts
}

// Oldest returns the IDs of up to limit pieces of work of a lane, the oldest
// first.
func (que Queue) Oldest(lan work.Lane, limit int) []work.ID {
	places, ok := que.lanes.Get(lan)
	if !ok {
		return nil
	}
	var ids []work.ID
	itr := places.Iterator()
	for !itr.Done() && len(ids) < limit {
		plc, _, _ := itr.Next()
		ids = append(ids, plc.id)
	}
	return ids
}
