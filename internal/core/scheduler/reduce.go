package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/latestart"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
)

// Reduce applies events in order and returns the effects to perform.
func (sta *State) Reduce(now time.Time, events []Event) (effects []Effect) {
	sta.now = now
	sta.effects = nil
	for _, evt := range events {
		if sta.steppedDown {
			return sta.effects
		}
		sta.handle(evt)
	}
	if sta.steppedDown {
		return sta.effects
	}
	sta.expireLeases()
	sta.logFormerLeases()
	sta.expireCalls()
	sta.openDueOccurrences()
	if sta.jobsLoaded {
		sta.planWaves()
		sta.planMoves()
		sta.assign()
	}
	sta.writeStarts()
	sta.sendStops()
	sta.askHolders()
	sta.pollHosts()
	sta.saveRecords()
	sta.listMachines()
	return sta.effects
}

// handle applies an event.
func (sta *State) handle(evt Event) {
	switch evt := evt.(type) {
	case Tick:
	case JobsLoaded:
		sta.jobsLoaded = true
		sta.restoreStarts()
	case CatalogChanged:
		sta.catalog = evt.Catalog
		sta.catalogs++
	case ZonesChanged:
		sta.zonesOut = evt.Out
	case JobAccepted:
		sta.accept(evt)
	case JobCancelled:
		sta.cancel(evt.ID)
	case VMRegistered:
		sta.register(evt.VM)
	case VMUnregistered:
		if hos := sta.hosts[evt.ID]; hos != nil {
			hos.unregistered = true
		}
	case MachinesListed:
		sta.machinesListed(evt)
	case Committed:
		sta.committed(evt)
	case WaveRequested:
		sta.waveRequested(evt)
	case WaveWithdrawn:
		delete(sta.waves, evt.Number)
	case MachineAnswered:
		sta.machineAnswered(evt)
	default:
		sta.handleAdvisorAndStore(evt)
	}
}

// handleAdvisorAndStore applies events of the advisor and of the store, and
// passes others on.
func (sta *State) handleAdvisorAndStore(evt Event) {
	switch evt := evt.(type) {
	case AdvisorAnswered:
		sta.advisorAnswered(evt)
	case AdvisorSlotsChanged:
		sta.advisorSlots = evt.Count
	case FormerStartsListed:
		sta.formerStarts = evt.Records
	case StartsNotRecorded:
		sta.startsNotRecorded(evt)
	case TenureEnding:
		sta.ending = true
	case EndedJobsListed:
		sta.endedJobsListed(evt)
	case VMWatchProgressed:
		if evt.At.Sub(sta.vmsSyncedAt) > maxVMWatchGap {
			sta.vmsSyncedSince = evt.At
		}
		sta.vmsSyncedAt = evt.At
	case JobWatchProgressed:
		sta.jobsSyncedAt = evt.At
	default:
		sta.handleAnswer(evt)
	}
}

// expireInterval is the time between two passes over the calls that may be carried out
// late.
const expireInterval = time.Second

// expireCalls drops the calls that are no longer carried out.
func (sta *State) expireCalls() {
	if sta.now.Sub(sta.expiredAt) < expireInterval {
		return
	}
	sta.expiredAt = sta.now
	sta.lateStarts.Expire(sta.now, sta.extendedUntil)
	sta.leases.Expire(sta.now)
}

// handleAnswer applies answers of VMs. Answers to calls for earlier incarnations are
// ignored.
func (sta *State) handleAnswer(evt Event) {
	switch evt := evt.(type) {
	case PollAnswered:
		if hos := sta.answeringHost(evt.VM, evt.Token); hos != nil {
			sta.pollAnswered(hos, evt)
		}
	case StartAnswered:
		switch run := (latestart.Run{Task: evt.Task, Number: evt.Run}); {
		case evt.Result == worker.ResultUnknown || evt.Unanswered:
			sta.loseStart(evt.VM, run)
		case evt.Result == worker.ResultOK:
			sta.lateStarts.Accept(evt.VM.ID, run)
		default:
			sta.lateStarts.Settle(evt.VM.ID, run)
		}
		if hos := sta.answeringHost(evt.VM, evt.Token); hos != nil {
			sta.startAnswered(hos, evt)
		}
	case StartSettled:
		sta.startSettled(evt)
	case StopAnswered:
		if hos := sta.answeringHost(evt.VM, evt.Token); hos != nil {
			sta.stopAnswered(hos, evt)
		}
	case PaceAnswered:
		if hos := sta.answeringHost(evt.VM, evt.Token); hos != nil {
			sta.paceAnswered(hos, evt)
		}
	default:
		panic(fmt.Sprintf("scheduler: unknown event %T", evt))
	}
}

// answeringHost returns the host of a VM that has answered a call with a token, or nil if the
// call was for another incarnation.
func (sta *State) answeringHost(one worker.VM, token int64) *host {
	hos := sta.hosts[one.ID]
	if hos == nil || !hos.vm.SameIncarnation(one) || token != 0 && token != hos.token {
		return nil
	}
	return hos
}

// stepDown ends the tenure. Later events are ignored.
func (sta *State) stepDown(reason string) {
	sta.steppedDown = true
	sta.emit(StepDown{Reason: reason})
}

// indexHost adds a host to the sorted lists of hosts.
func (sta *State) indexHost(hos *host) {
	sta.unlistedKnown = false
	sta.hostList = insertHost(sta.hostList, hos)
	sta.pools[hos.vm.Pool] = insertHost(sta.pools[hos.vm.Pool], hos)
}

// unindexHost removes a host from the sorted lists of hosts. Its pool must not
// have changed since it was added.
func (sta *State) unindexHost(hos *host) {
	sta.unlistedKnown = false
	sta.hostList = deleteHost(sta.hostList, hos)
	sta.pools[hos.vm.Pool] = deleteHost(sta.pools[hos.vm.Pool], hos)
}

func compareHostID(hos *host, id string) int { return strings.Compare(hos.vm.ID, id) }

func insertHost(list []*host, hos *host) []*host {
	i, _ := slices.BinarySearchFunc(list, hos.vm.ID, compareHostID)
	return slices.Insert(list, i, hos)
}

func deleteHost(list []*host, hos *host) []*host {
	if i, ok := slices.BinarySearchFunc(list, hos.vm.ID, compareHostID); ok {
		return slices.Delete(list, i, i+1)
	}
	return list
}
