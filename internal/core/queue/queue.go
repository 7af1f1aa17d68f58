// Package queue queues one entry's waiting work for one pool, with a lane for
// each combination of team, urgency and retry.
package queue

import (
	"cmp"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/work"
	"github.com/benbjohnson/immutable"
)

// Queue is the work waiting for a pool. It is immutable.
type Queue struct {
	// lanes holds only lanes that are not empty.
	lanes *immutable.SortedMap[work.Lane, lane]
	// size is the number of pieces of work in all lanes.
	size int
}

// lane is the set of the positions in one lane, ordered by arrival time.
type lane = *immutable.SortedMap[position, struct{}]

// position identifies a piece of work and orders it within its lane.
type position struct {
	arrived time.Time
	id      work.ID
}

type laneComparer struct{}

func (laneComparer) Compare(a, b work.Lane) int {
	return cmp.Or(cmp.Compare(a.Urgency.Rank(), b.Urgency.Rank()), cmp.Compare(a.Team, b.Team),
		cmp.Compare(retryRank(a), retryRank(b)))
}

// retryRank orders retries before first attempts.
func retryRank(lan work.Lane) int {
	if lan.Retry {
		return 0
	}
	return 1
}

type positionComparer struct{}

func (positionComparer) Compare(a, b position) int {
	return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.id, b.id))
}

// New returns an empty queue.
func New() Queue {
	return Queue{lanes: immutable.NewSortedMap[work.Lane, lane](laneComparer{})}
}

// Len returns the number of pieces of work in the queue.
func (que Queue) Len() int { return que.size }

// With returns the queue with a piece of work added.
func (que Queue) With(wrk work.Work) Queue {
	lan, ok := que.lanes.Get(wrk.Lane())
	if !ok {
		lan = immutable.NewSortedMap[position, struct{}](positionComparer{})
	}
	que.lanes = que.lanes.Set(wrk.Lane(), lan.Set(position{wrk.Arrived, wrk.ID}, struct{}{}))
	que.size++
	return que
}

// Without returns the queue with a piece of work removed.
func (que Queue) Without(wrk work.Work) Queue {
	lan, ok := que.lanes.Get(wrk.Lane())
	if !ok {
		return que
	}
	if _, ok := lan.Get(position{wrk.Arrived, wrk.ID}); !ok {
		return que
	}
	lan = lan.Delete(position{wrk.Arrived, wrk.ID})
	if lan.Len() == 0 {
		que.lanes = que.lanes.Delete(wrk.Lane())
	} else {
		que.lanes = que.lanes.Set(wrk.Lane(), lan)
	}
	que.size--
	return que
}

// LaneBacklog is the number of pieces of work in a lane and the arrival time of
// the oldest.
type LaneBacklog struct {
	Lane    work.Lane
	Waiting int
	Oldest  time.Time
}

// Backlog returns the backlog of each lane, the most urgent first, then by
// team.
func (que Queue) Backlog() []LaneBacklog {
	backlog := make([]LaneBacklog, 0, que.lanes.Len())
	itr := que.lanes.Iterator()
	for !itr.Done() {
		lan, positions, _ := itr.Next()
		first := positions.Iterator()
		oldest, _, _ := first.Next()
		backlog = append(backlog, LaneBacklog{Lane: lan, Waiting: positions.Len(), Oldest: oldest.arrived})
	}
	return backlog
}

// Oldest returns the IDs of up to limit pieces of work of a lane, the oldest
// first.
func (que Queue) Oldest(lan work.Lane, limit int) []work.ID {
	positions, ok := que.lanes.Get(lan)
	if !ok {
		return nil
	}
	var ids []work.ID
	itr := positions.Iterator()
	for !itr.Done() && len(ids) < limit {
		pos, _, _ := itr.Next()
		ids = append(ids, pos.id)
	}
	return ids
}
