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

// Settings are what an entry knows of itself from the start.
type Settings struct {
	// ID is unique to this incarnation of the process.
	ID string
	// Address is where peers reach the entry.
	Address string
	AZ      string
	// VM is the platform's name of the entry's VM, or empty.
	VM string
	// Seed feeds the random generator.
	Seed uint64
	// StoreWritesPerSecond is what all entries together may spend on writing
	// the records of tasks.
	StoreWritesPerSecond int
}

// State is all that an entry knows. It is immutable: Reduce returns the next
// one and leaves this one as it was.
type State struct {
	set     Settings
	started time.Time
	// now is the time of the last event; it never goes back.
	now time.Time
	rnd rand.PCG

	config *table.Config
	// recent holds the latest changes in their order, for peers that lack
	// them.
	recent []table.Edit
	edits  editState
	store  storeState

	view  member.View
	fleet vm.Fleet
	// echoes maps a member to the SentNanos of its last heartbeat.
	echoes *immutable.Map[string, int64]
	// heartbeatAt is when the last heartbeats were sent.
	heartbeatAt time.Time
	// liveCheckAt is when the entry last looked at who is live.
	liveCheckAt time.Time
	removal     removalState

	ledger permit.Ledger
	// toldSpares is what the peers were last told of the entry's own.
	toldSpares *immutable.SortedMap[string, int]
	// totalsAt is when all cumulative permits were last repeated.
	totalsAt time.Time
	// spares is what peers said they could give, less what was asked for.
	spares *immutable.SortedMap[spareKey, int]
	// refreshedAt is when the reports were last looked at for their age.
	refreshedAt time.Time
	// askedAt is when permits were last asked for.
	askedAt time.Time

	nextWork work.ID
	works    *immutable.Map[work.ID, work.Work]
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
	// recalls holds the slots that dispatchers want back.
	recalls *immutable.SortedMap[slotKey, recall]
	// rates holds how much of each team's work starts in each pool.
	rates *immutable.SortedMap[slotKey, queue.Rate]
	// delayed orders the work that waits to be retried by time.
	delayed *immutable.SortedMap[timer, struct{}]

	// pools holds the entry's own part in each pool of the configuration.
	pools *immutable.SortedMap[string, poolState]
	// dirty holds the pools of whose changes the dispatcher has not heard.
	dirty *immutable.SortedMap[string, struct{}]
	// busy holds the pools with work waiting, and waiting how much of each
	// team's work waits; neither holds an empty one.
	busy    *immutable.SortedMap[string, struct{}]
	waiting *immutable.SortedMap[string, int]
	// live is who was live at the last look, sorted.
	live []string
	// leads holds the dispatchers of the pools that this entry leads.
	leads *immutable.SortedMap[string, dispatch.Dispatcher]
	// suspects maps a VM that could not be connected to, to its suspicion.
	suspects *immutable.SortedMap[string, suspicion]

	// answeredAt maps a VM to when it answered, to within noteAnswerEvery.
	answeredAt *immutable.SortedMap[string, time.Time]

	log  task.Log
	logs logState
	asks askState
	// memory holds the idempotency keys that this entry is a home of.
	memory    idempotency.Memory
	draining  drainState
	plannedAt time.Time
	// plannedFor is what the last plan without moves was made from.
	plannedFor planInput
	ready      bool
}

// poolState is the entry's own part in a pool.
type poolState struct {
	queue      queue.Queue
	reportedAt time.Time
	// leader is the live member that leads the pool, or "".
	leader string
	// dispatcher is the member that the last report went to.
	dispatcher string
	// acknowledged is the number of the last grant of that dispatcher.
	acknowledged uint64
	budget       retry.Budget
}

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

// recall is how many slots of a team are to be given back, until a time. Its
// key names no VM.
type recall struct {
	count int
	until time.Time
}

type timer struct {
	at time.Time
	id work.ID
}

type timerComparer struct{}

func (timerComparer) Compare(a, b timer) int {
	return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.id, b.id))
}

type spareKey struct {
	team   string
	member string
}

type spareKeyComparer struct{}

func (spareKeyComparer) Compare(a, b spareKey) int {
	return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.member, b.member))
}

// suspicion keeps new work from a VM for a while.
type suspicion struct {
	until time.Time
	span  time.Duration
	// failures counts the tasks that failed on the VM since one was done.
	failures int
}

// New returns the state of an entry before its first event.
func New(set Settings) State {
	return State{
		set:        set,
		rnd:        *rand.NewPCG(set.Seed, 0),
		config:     table.Empty(),
		view:       member.NewView(set.ID),
		fleet:      vm.NewFleet(),
		ledger:     permit.NewLedger(set.ID),
		echoes:     immutable.NewMap[string, int64](nil),
		toldSpares: immutable.NewSortedMap[string, int](nil),
		spares:     immutable.NewSortedMap[spareKey, int](spareKeyComparer{}),
		works:      immutable.NewMap[work.ID, work.Work](nil),
		requests:   immutable.NewMap[uint64, work.ID](nil),
		requestOf:  immutable.NewMap[work.ID, uint64](nil),
		tasks:      immutable.NewMap[string, work.ID](nil),
		running:    immutable.NewMap[string, int](nil),
		held:       immutable.NewSortedMap[slotKey, int](slotKeyComparer{}),
		expiry:     immutable.NewSortedMap[timer, struct{}](timerComparer{}),
		rates:      immutable.NewSortedMap[slotKey, queue.Rate](slotKeyComparer{}),
		recalls:    immutable.NewSortedMap[slotKey, recall](slotKeyComparer{}),
		delayed:    immutable.NewSortedMap[timer, struct{}](timerComparer{}),
		pools:      immutable.NewSortedMap[string, poolState](nil),
		dirty:      immutable.NewSortedMap[string, struct{}](nil),
		busy:       immutable.NewSortedMap[string, struct{}](nil),
		waiting:    immutable.NewSortedMap[string, int](nil),
		leads:      immutable.NewSortedMap[string, dispatch.Dispatcher](nil),
		answeredAt: immutable.NewSortedMap[string, time.Time](nil),
		suspects:   immutable.NewSortedMap[string, suspicion](nil),
		log:        task.NewLog(),
		asks:       newAskState(),
		logs:       newLogState(),
		memory:     idempotency.NewMemory(),
		store:      newStoreState(),
	}
}

// Config returns the configuration that the entry runs by.
func (sta State) Config() *table.Config { return sta.config }

// ID returns the entry's ID.
func (sta State) ID() string { return sta.set.ID }

// Running returns how much work of a team the entry has running.
func (sta State) Running(team string) int {
	count, _ := sta.running.Get(team)
	return count
}

// HeldPermits returns how much work of a team the entry may have running.
func (sta State) HeldPermits(team string) int {
	return sta.ledger.Rights(sta.config, team)
}
