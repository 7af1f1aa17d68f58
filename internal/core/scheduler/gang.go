package scheduler

import (
	"maps"
	"slices"
)

// plannedTasks counts, by host, the tasks of a stage that are to start there but
// have not been ordered yet.
type plannedTasks map[*host]int

// placeGang starts all tasks of a gang or none.
func (sta *State) placeGang(stg *stage, hosts []*host) {
	if stg.waiting < len(stg.tasks) {
		sta.breakGang(stg)
		return
	}
	if sta.starts.full() || !sta.withinCap(stg, len(stg.tasks)-sta.countBound(stg)) {
		return
	}
	run, checkpoint := 0, ""
	for i := range stg.tasks {
		tas := &stg.tasks[i]
		if sta.now.Before(tas.notBefore) {
			return
		}
		run = max(run, tas.run)
		// A checkpoint of any member is valid for the whole gang.
		if checkpoint == "" {
			checkpoint = tas.checkpoint
		}
	}
	for i, hos := range sta.chooseGangHosts(stg, hosts) {
		stg.tasks[i].checkpoint = checkpoint
		sta.start(hos, stg, i, run+1)
	}
}

// breakGang stops the members of an incomplete gang. They would otherwise wait
// for the others until the VMs time them out.
func (sta *State) breakGang(stg *stage) {
	for i := range stg.tasks {
		if hos := stg.tasks[i].host; hos != nil {
			sta.stop(hos, hos.runs[stg.task(i)], stopGangBroken)
		}
	}
}

// chooseGangHosts returns a host for each member of a gang, or nil if they do
// not all fit. A gang that is slow across racks is placed on one rack if
// possible.
func (sta *State) chooseGangHosts(stg *stage, hosts []*host) (chosen []*host) {
	if stg.step.SameRack {
		for _, rack := range racksOf(stg, hosts) {
			if chosen = sta.chooseHosts(stg, rack); chosen != nil {
				return chosen
			}
		}
	}
	return sta.chooseHosts(stg, hosts)
}

// racksOf groups hosts by rack. The rack with the stage's data comes first,
// the others follow in the order of their names.
func racksOf(stg *stage, hosts []*host) (racks [][]*host) {
	byName := map[string][]*host{}
	for _, hos := range hosts {
		byName[hos.vm.Rack] = append(byName[hos.vm.Rack], hos)
	}
	if local, ok := byName[stg.step.DataRack]; ok {
		racks = append(racks, local)
		delete(byName, stg.step.DataRack)
	}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		racks = append(racks, byName[name])
	}
	return racks
}

// chooseHosts returns a host for each task of a stage, or nil if they do not
// all fit. Tasks that are bound to a VM have no choice, so they come first.
func (sta *State) chooseHosts(stg *stage, hosts []*host) (chosen []*host) {
	planned := plannedTasks{}
	chosen = make([]*host, len(stg.tasks))
	for _, bound := range []bool{true, false} {
		for i := range stg.tasks {
			if sta.isBound(stg.task(i)) != bound {
				continue
			}
			hos := sta.chooseHost(stg, i, hosts, planned)
			if hos == nil {
				return nil
			}
			planned[hos]++
			chosen[i] = hos
		}
	}
	return chosen
}
