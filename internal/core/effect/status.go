package effect

// Status is the state that an entry reports to operators.
type Status struct {
	ID       string `json:"id"`
	AZ       string `json:"az"`
	Revision int64  `json:"revision"`
	// Fresh reports whether the freshness rule of package member lets the entry
	// start work.
	Fresh   bool           `json:"fresh"`
	Voting  bool           `json:"voting"`
	Leaving bool           `json:"leaving"`
	AZsOut  []string       `json:"azs_out"`
	Members []MemberStatus `json:"members"`
	Pools   []PoolStatus   `json:"pools"`
	Teams   []TeamStatus   `json:"teams"`
	// PendingRecords counts the task records that are not in the store yet.
	PendingRecords int `json:"pending_records"`
	Tasks          int `json:"tasks"`
}

// MemberStatus is the last known state of a peer.
type MemberStatus struct {
	ID       string `json:"id"`
	AZ       string `json:"az"`
	Live     bool   `json:"live"`
	Voting   bool   `json:"voting"`
	Revision int64  `json:"revision"`
}

// PoolStatus is the state of a pool at the entry.
type PoolStatus struct {
	Pool       string `json:"pool"`
	Dispatcher string `json:"dispatcher"`
	VMs        int    `json:"vms"`
	UsableVMs  int    `json:"usable_vms"`
	Slots      int    `json:"slots"`
	// Waiting and Running count only the entry's own work.
	Waiting int `json:"waiting"`
	Running int `json:"running"`
}

// TeamStatus is the state of a team at the entry.
type TeamStatus struct {
	Team  string `json:"team"`
	Limit int    `json:"limit"`
	// Permits and Running count only the entry's own.
	Permits int `json:"permits"`
	Running int `json:"running"`
	// InDebt reports whether a lowered limit is not yet in force at the entry.
	InDebt bool `json:"in_debt"`
}
