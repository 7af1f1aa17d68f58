package entry

import (
	"slices"

	"github.com/balsamgauge/balsamgauge/internal/core/effect"
)

func (stp *step) status() effect.Status {
	cfg := stp.st.config
	_, votes := cfg.Voter(stp.st.settings.ID)
	sts := effect.Status{
		ID:             stp.st.settings.ID,
		AZ:             stp.st.settings.AZ,
		Revision:       cfg.Revision,
		Fresh:          stp.st.view.IsFresh(stp.now, cfg),
		Voting:         votes,
		Leaving:        stp.st.view.Leaving(),
		AZsOut:         cfg.Tables.AZsOut,
		PendingRecords: stp.st.log.PendingCount() + len(stp.st.log.InFlight()),
		Tasks:          stp.st.tasks.Len(),
	}
	live := stp.st.view.Live(stp.now)
	for _, per := range stp.st.view.Peers() {
		_, votes := cfg.Voter(per.ID)
		sts.Members = append(sts.Members, effect.MemberStatus{
			ID: per.ID, AZ: per.AZ, Live: slices.Contains(live, per.ID), Voting: votes, Revision: per.Revision,
		})
	}
	for _, poo := range cfg.Tables.Pools {
		sts.Pools = append(sts.Pools, stp.poolStatus(poo.Name))
	}
	for _, tea := range cfg.Tables.Teams {
		permits := stp.st.HeldPermits(tea.Name)
		sts.Teams = append(sts.Teams, effect.TeamStatus{
			Team: tea.Name, Limit: tea.Limit, Permits: permits,
			Running: stp.st.Running(tea.Name), InDebt: permits < 0,
		})
	}
	return sts
}

func (stp *step) poolStatus(name string) effect.PoolStatus {
	own := stp.pool(name)
	pst := effect.PoolStatus{Pool: name, Dispatcher: own.leader, Waiting: own.queue.Len()}
	pst.VMs = len(stp.st.config.VMsOf(name))
	for _, one := range stp.st.fleet.Usable(stp.st.config, name) {
		pst.UsableVMs++
		pst.Slots += one.Slots
	}
	for _, run := range stp.runningInPool(name) {
		pst.Running += run.Count
	}
	return pst
}
