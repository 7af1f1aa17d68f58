package entry

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/dispatch"
	"github.com/balsamgauge/balsamgauge/internal/core/idempotency"
	"github.com/balsamgauge/balsamgauge/internal/core/member"
	"github.com/balsamgauge/balsamgauge/internal/core/permit"
	"github.com/balsamgauge/balsamgauge/internal/core/queue"
	"github.com/balsamgauge/balsamgauge/internal/core/retry"
	"github.com/balsamgauge/balsamgauge/internal/core/task"
	"github.com/balsamgauge/balsamgauge/internal/core/vm"
	"github.com/balsamgauge/balsamgauge/internal/core/work"
	"github.com/balsamgauge/balsamgauge/pkg/table"
	"github.com/benbjohnson/immutable"
)

// Settings holds the parameters of an entry that are fixed at its start.
type Settings struct {
	// ID is unique to this incarnation of the process.
	ID string
	// Address is the address for peers.
	Address string
	AZ      string
	// VM is the platform's name of the entry's VM, or empty.
	VM string
	// Seed seeds the random generator.
	Seed uint64
	// StoreWritesPerSecond is the budget of all entries together for writing
	// task records to the store.
	StoreWritesPerSecond int
}

// State is the state of an entry. It is immutable: Reduce returns the next
// state and leaves this one unchanged.
type State struct {
	settings Settings
	started  time.Time
	// now is the time of the last event. It never decreases.
	now time.Time
	rnd rand.PCG

	config *table.Config
	// recent holds the latest edits in order, for peers that lack them.
	recent []table.Edit
	edits  editState
	store  storeState

	view  member.View
	fleet vm.Fleet
	// echoes maps a member to the SentNanos of its last heartbeat.
	echoes *immutable.Map[string, int64]
	// heartbeatAt is when the last heartbeats were sent.
	heartbeatAt time.Time
	// liveCheckedAt is when the live members were last determined.
	liveCheckedAt time.Time
	removal       removalState

	ledger permit.Ledger
	// reportedSpares holds the entry's own spare permits as last reported to
	// the peers, by team.
	reportedSpares *immutable.SortedMap[string, int]
	// totalsAt is when the totals of the permits sent were last repeated to all
	// peers.
	totalsAt time.Time
	// peerSpares holds the spare permits that peers reported, less those
	// requested since.
	peerSpares *immutable.SortedMap[spareKey, int]
	// refreshCheckedAt is when the reports to dispatchers were last checked for
	// a refresh.
	refreshCheckedAt time.Time
	// permitsRequestedAt is when permits were last requested.
	permitsRequestedAt time.Time

	lastWorkID work.ID
	works      *immutable.Map[work.ID, work.Work]
	// requests maps a caller's request to its work.
	requests *immutable.Map[uint64, work.ID]
	// requestOf is the inverse of requests.
	requestOf *immutable.Map[work.ID, uint64]
	// tasks maps a task that is not final to its work.
	tasks *immutable.Map[string, work.ID]
	// running counts the work that holds a permit, by team.
	running *immutable.Map[string, int]
	// held counts the slots that the entry uses.
	held *immutable.SortedMap[slotKey, int]
	// expiry orders the waiting work by deadline.
	expiry *immutable.SortedMap[timer, struct{}]
	// recalls holds the slots that dispatchers recall. Its keys have no VM.
	recalls *immutable.SortedMap[slotKey, recall]
	// rates holds the rate at which each team's work starts in each pool. Its
	// keys have only a pool and a team.
	rates *immutable.SortedMap[slotKey, queue.Rate]
	// delayed orders the work that waits for a retry by time.
	delayed *immutable.SortedMap[timer, struct{}]

	// pools holds the entry's own state of each pool of the configuration.
	pools *immutable.SortedMap[string, poolState]
	// dirty holds the pools whose changes have not been reported to the
	// dispatcher.
	dirty *immutable.SortedMap[string, struct{}]
	// backlogged holds the pools with waiting work, and waiting the amount of
	// waiting work of each team. Neither holds an empty one.
	backlogged *immutable.SortedMap[string, struct{}]
	waiting    *immutable.SortedMap[string, int]
	// live lists the members that were live at the last check, sorted.
	live []string
	// dispatchers holds the dispatchers that this entry runs, by pool.
	dispatchers *immutable.SortedMap[string, dispatch.Dispatcher]
	// suspects maps a VM to its suspicion.
	suspects *immutable.SortedMap[string, suspicion]

	// answeredAt maps a VM to its last answer, at a resolution of
	// answerRecordInterval.
	answeredAt *immutable.SortedMap[string, time.Time]

	// log holds the records of the entry's tasks. logProgress is the progress of
	// its writes, of adoptions and of the polls of workers.
	log         task.Log
	logProgress logState
	queries     queryState
	// registry holds the idempotency keys that this entry is a replica of.
	registry  idempotency.Registry
	draining  drainState
	plannedAt time.Time
	// emptyPlanInput is the input of the last plan without moves.
	emptyPlanInput planInput
	ready          bool
}

// poolState is the entry's own state of a pool.
type poolState struct {
	queue      queue.Queue
	reportedAt time.Time
	// leader is the live member that leads the pool, or "".
	leader string
	// dispatcher is the member that received the last report.
	dispatcher string
	// acknowledged is the sequence number of the last grant of that dispatcher.
	acknowledged uint64
	budget       retry.Budget
}

// slotKey identifies the slots of a team on a VM. reserve is set for slots of
// the reserve for urgent work.
type slotKey struct {
	pool    string
	vm      string
	team    string
	reserve bool
}

type slotKeyComparer struct{}

func (slotKeyComparer) Compare(a, b slotKey) int {
	return cmp.Or(cmp.Compare(a.pool, b.pool), cmp.Compare(a.vm, b.vm),
		cmp.Compare(a.team, b.team), compareBool(a.reserve, b.reserve))
}

// compareBool orders true before false, so the slots of the reserve come first.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// recall is the number of slots of a team to return, and when the recall
// expires.
type recall struct {
	count int
	until time.Time
}

// timer is a time at which work is due for a retry or reaches its deadline.
type timer struct {
	at time.Time
	id work.ID
}

type timerComparer struct{}

func (timerComparer) Compare(a, b timer) int {
	return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.id, b.id))
}

// spareKey identifies the spare permits of a team at a member.
type spareKey struct {
	team   string
	member string
}

type spareKeyComparer struct{}

func (spareKeyComparer) Compare(a, b spareKey) int {
	return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.member, b.member))
}

// suspicion keeps new work from a VM until a time. It is kept after that, so
// that the next one lasts longer, until the VM succeeds.
type suspicion struct {
	until time.Time
	// duration is the nominal duration, before jitter. It is 0 while the VM has
	// too few failures for a suspicion.
	duration time.Duration
	// failures counts the tasks that failed on the VM since the last success.
	failures int
}

// New returns the state of an entry before its first event.
func New(settings Settings) State {
	return State{
		settings:       settings,
		rnd:            *rand.NewPCG(settings.Seed, 0),
		config:         table.Empty(),
		view:           member.NewView(settings.ID),
		fleet:          vm.NewFleet(),
		ledger:         permit.NewLedger(settings.ID),
		echoes:         immutable.NewMap[string, int64](nil),
		reportedSpares: immutable.NewSortedMap[string, int](nil),
		peerSpares:     immutable.NewSortedMap[spareKey, int](spareKeyComparer{}),
		works:          immutable.NewMap[work.ID, work.Work](nil),
		requests:       immutable.NewMap[uint64, work.ID](nil),
		requestOf:      immutable.NewMap[work.ID, uint64](nil),
		tasks:          immutable.NewMap[string, work.ID](nil),
		running:        immutable.NewMap[string, int](nil),
		held:           immutable.NewSortedMap[slotKey, int](slotKeyComparer{}),
		expiry:         immutable.NewSortedMap[timer, struct{}](timerComparer{}),
		rates:          immutable.NewSortedMap[slotKey, queue.Rate](slotKeyComparer{}),
		recalls:        immutable.NewSortedMap[slotKey, recall](slotKeyComparer{}),
		delayed:        immutable.NewSortedMap[timer, struct{}](timerComparer{}),
		pools:          immutable.NewSortedMap[string, poolState](nil),
		dirty:          immutable.NewSortedMap[string, struct{}](nil),
		backlogged:     immutable.NewSortedMap[string, struct{}](nil),
		waiting:        immutable.NewSortedMap[string, int](nil),
		dispatchers:    immutable.NewSortedMap[string, dispatch.Dispatcher](nil),
		answeredAt:     immutable.NewSortedMap[string, time.Time](nil),
		suspects:       immutable.NewSortedMap[string, suspicion](nil),
		log:            task.NewLog(),
		queries:        newQueryState(),
		logProgress:    newLogState(),
		registry:       idempotency.NewRegistry(),
		store:          newStoreState(),
	}
}

// Config returns the configuration in force at this entry.
func (sta State) Config() *table.Config { return sta.config }

// ID returns the entry's ID.
func (sta State) ID() string { return sta.settings.ID }

// Running returns the amount of a team's work that runs at this entry.
func (sta State) Running(team string) int {
	count, _ := sta.running.Get(team)
	return count
}

// HeldPermits returns the number of a team's permits that the entry holds. It
// is negative while the entry is in debt.
func (sta State) HeldPermits(team string) int {
	return sta.ledger.Permits(sta.config, team)
}
